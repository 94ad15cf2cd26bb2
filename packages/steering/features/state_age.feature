Feature: The age of an entry's state

  Scenario Outline: An answer of the store is as old as the store's clock says
    Given answers of the store that took 10 ms each
    When an answer to a call of <waited> ms arrives <late> ms late
    Then it was true <age> ms before it arrived

    Examples:
      | waited | late | age  |
      | 10     | 0    | 0    |
      | 1000   | 0    | 0    |
      | 3000   | 2000 | 2000 |

  Scenario: An answer without the store's clock counts from when the store was asked
    Given answers of the store that took 10 ms each
    Then an answer without a clock to a call of 900 ms was true 900 ms before it arrived

  Scenario: What another entry confirmed is not passed on as the store's word
    Given a state that the store confirmed 900 ms ago, and an entry 100 ms ago
    Then its age is 100 ms, and 900 ms by the store

  Scenario Outline: An entry asks the store once its state is <age> ms old, for changes within 2500 ms
    Then an entry with a state of <age> ms that asked <asked> ms ago with <failures> failures asks <answer>

    Examples:
      | age  | asked | failures | answer |
      | 1200 | 9000  | 0        | never  |
      | 1300 | 9000  | 0        | at times |
      | 1450 | 9000  | 0        | always |
      | 1450 | 300   | 0        | never  |
      | 1450 | 450   | 1        | always |
      | 1450 | 450   | 2        | never  |
      | 1450 | 1650  | 20       | always |
