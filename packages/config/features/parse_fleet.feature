Feature: Checked configuration
  Bad input names file, line, field and what was expected.

  Scenario Outline: A broken fleet document is refused where it is broken
    When a fleet document has <change>
    Then the problem is at field "<field>" and says "<expected>"

    Examples:
      | change                     | field                   | expected                       |
      | an exception with no reason | exceptions.0.reason    | a reason that a board can read |
      | a move above its cap       | moves.0.steps.1         | at most capShare               |
      | a move with falling steps  | moves.0.steps.1         | rising steps                   |
      | an unknown data centre     | services.0.targets.0.dataCentre | not a dataCentre       |
      | an unknown field           |                         | Unrecognized key               |
      | a text for a number        | defaults.timeoutMillis  | expected number                |
      | a target given twice       | services.1.id           | given twice                    |

  Scenario: The line of a problem is the line of its field
    When a fleet document with a bad slot count on line 14 is parsed
    Then the problem names line 14

  Scenario: Broken YAML is reported with its line
    When a document with an open bracket is parsed
    Then a problem of the whole document is reported

  Scenario: Settings need addresses by IP number and long secrets
    When settings use a host name and a short token
    Then both fields are reported

  Scenario: Exceptions apply only while they last and only where they match
    Given an exception for member "m1" until "2023-11-14" with bulk share 0.9
    Then on that day member "m1" has bulk share 0.9 and member "m2" has 0.34
    And two days later member "m1" has bulk share 0.34
