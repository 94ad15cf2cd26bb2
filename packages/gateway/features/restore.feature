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

  Scenario: A target whose drain the restored store lacks still counts as draining
    Given an entry "e1"
    And a copy of the store
    When "t1" reports that it drains
    And the store is restored from the copy
    Then "t1" counts as draining at "e1" for 2000 ms

  Scenario: A target whose removal the restored store lacks is not used again
    Given an entry "e1"
    And a copy of the store
    When the record of "t1" is removed
    And the store is restored from the copy
    Then "e1" has no "t1" for 2000 ms

  Scenario: A removed target that registers again after a restore is used at once
    Given an entry "e1"
    And a copy of the store
    When the record of "t1" is removed
    And the store is restored from the copy
    And "t1" reports 1 times
    Then "e1" has "t1" within 1 s

  Scenario: An evacuation that the restored store lacks holds until the operator writes it again
    Given an entry "e1"
    And a copy of the store
    When data centre "a1" is evacuated
    And the store is restored from the copy
    Then data centre "a1" stays evacuated at "e1" for 1000 ms
    When data centre "a1" is evacuated
    Then data centre "a1" stays evacuated at "e1" for 2500 ms

  Scenario: An evacuation that ended before the store was restored doesn't begin again
    Given an entry "e1"
    And data centre "a1" is evacuated
    And a copy of the store
    When the evacuation of data centre "a1" ends
    And the store is restored from the copy
    Then data centre "a1" stays in use at "e1" for 1500 ms
    When the evacuation of data centre "a1" ends
    Then data centre "a1" stays in use at "e1" for 2500 ms

  Scenario: An evacuation that is ordered after a restore begins at once
    Given an entry "e1"
    And data centre "a1" is evacuated
    And the evacuation of data centre "a1" ends
    And a copy of the store
    When the store is restored from the copy
    And "t1" reports 1 times
    And data centre "a1" is evacuated
    Then data centre "a1" stays evacuated at "e1" for 100 ms

  Scenario: A configuration that is older in the restored store is not applied
    Given an entry "e1"
    And a copy of the store
    When revision 9 drops the route "/read/"
    And the store is restored from the copy
    Then "e1" answers 404 to "/read/x" for 1 s

  Scenario: An entry that starts on a restored store gets the newer configuration from another entry
    Given an entry "e1"
    And a copy of the store
    When revision 9 drops the route "/read/"
    And the store is restored from the copy
    And an entry "e2"
    Then "e2" answers 404 to "/read/x" within 1 s

  Scenario: An entry whose registration the restored store lacks registers again
    Given an entry "e1"
    And a copy of the store
    And an entry "e2"
    And "e2" is registered
    When the store is restored from the copy
    Then the store lists the entry "e2" within 3 s
