Feature: Entries whose links to targets are cut
  Callers, the store and the other entries still reach such an entry. Routes and
  targets are those of gateway.feature; all entries have a retry budget.

  Background:
    Given a store with a route of each kind
    And a target "t1" that answers
    And a target "t2" that answers
    And a target "t3" that answers
    And an entry "e1" whose links to the targets can be cut
    And an entry "e2" with a retry budget
    And the directory of "e1" lists all 2 entries within 3 s

  Scenario Outline: Callers of an entry without links to targets are served through another entry
    When the links of "e1" are cut so that they <cut>, under load for 2500 ms
    Then 20 requests of each kind at "e1" are answered with 200, each run once
    And the log says that "e1" forwarded them to "e2"

    Examples:
      | cut    |
      | hang   |
      | reset  |

  Scenario: Callers are served on the connections to targets that outlive a cut, and through another entry
    When the links of "e1" are cut so that they refuse, under load for 2500 ms
    Then 20 requests of each kind at "e1" are answered with 200, each run once
    And 30 requests at a time at "e1" are answered with 200
    And the log says that "e1" forwarded them to "e2"

  Scenario: Most requests are served while an entry finds out that its links hang
    When the links of "e1" are cut so that they hang, under load for 4000 ms
    Then at least 80 of 100 requests of that load were answered with 200

  Scenario: An entry uses its links again soon after they are back
    When the links of "e1" are cut so that they hang, under load for 2500 ms
    And the links of "e1" are back, under load for 5000 ms
    Then "e1" sends its requests to targets itself

  Scenario: A request that no entry can serve is refused at once and goes in no circle
    Given an entry "e3" whose links to the targets can be cut
    And the directory of "e1" lists all 3 entries within 3 s
    When "e2" stops
    And the links of "e3" are cut so that they hang, under load for 2500 ms
    And the links of "e1" are cut so that they hang, under load for 2500 ms
    Then a request at "e1" is refused within 300 ms with a Retry-After
    And no request was forwarded more than once by each entry

  Scenario: A request that another entry forwarded is not forwarded again
    When the links of "e1" are cut so that they hang, under load for 2500 ms
    Then a request that is forwarded to "e1" is refused there as not run

  Scenario: A request is not forwarded to a region that may not run it
    When "e2" stops
    And an entry "e4" in data centre "b1" of region "b"
    And "e1" knows within 5 s that "e4" serves
    And the links of "e1" are cut so that they hang, under load for 2500 ms
    Then a request at "e1" to "/home/x" is refused within 300 ms with a Retry-After
    And a request at "e1" to "/read/x" is answered with 200
