Feature: A store that is restored from a copy
  What was written since the copy is gone, and the store gives out its versions
  again. Routes and targets are those of gateway.feature.

  Background:
    Given a store with a route of each kind
    And a target "t1" that answers
    And a target "t2" that answers

  Scenario Outline: A change takes effect after a restore, however many versions were lost
    Given an entry "e1"
    And a copy of the store
    When "t2" reports <lost> times
    And the store is restored from the copy
    And "t1" begins to drain
    Then "e1" knows within 1 s that "t1" drains

    Examples:
      | lost |
      | 1    |
      | 30   |

  Scenario: A change takes effect after each of two restores
    Given an entry "e1"
    And a copy of the store
    When "t2" reports 5 times
    And the store is restored from the copy
    And "t2" reports 4 times
    And the store is restored from the copy
    And "t1" begins to drain
    Then "e1" knows within 1 s that "t1" drains

  Scenario: An entry that the store refuses gets changes after a restore from another entry
    Given an entry "e1"
    And an entry "e2"
    And a copy of the store
    When "t2" reports 5 times
    And the store refuses "e2" from now on
    And the store is restored from the copy
    And "t1" begins to drain
    Then "e2" knows within 2 s that "t1" drains

  Scenario Outline: A target that the restored store lacks is removed after the grace period
    Given an entry "e1"
    And a copy of the store
    When a target "t3" starts
    And <restore>
    Then "e1" still has "t3" for 1500 ms
    And "t3" is removed from "e1" within 2 s

    Examples:
      | restore                                                                   |
      | the store is restored from the copy                                       |
      | the store is restored from the copy without an outage that entries notice |
