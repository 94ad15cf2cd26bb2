Feature: Each entry bounds the age of its state

  Changes are in force within 2.5 s of their acknowledgement at every entry that
  reaches the store, whatever happens to the entries that follow it.

  Background:
    Given a store with a route of each kind

  Scenario Outline: Followers lose their paths to the store one after another, then <change>
    Given a target "t1" that answers
    And entries "e1" to "e6" of which the first 2 watch the store
    When "e1" and "e2" get no answers from the store
    And "e3" and "e4" get none either from their first watch on
    And <change>
    Then "e5" and "e6" apply it within 2500 ms

    Examples:
      | change                 |
      | a route is dropped     |
      | a target drains        |
      | a target is removed    |
      | data centre "a1" is evacuated now |

  Scenario Outline: Open connections to the store go silent, then <change>
    Given a target "t1" that answers
    And entries "e1" to "e2" of which the first 2 watch the store
    When the open connections of "e1" and "e2" to the store go silent
    And <change>
    Then "e1" and "e2" apply it within 2500 ms

    Examples:
      | change                 |
      | a route is dropped     |
      | a target drains        |
      | a target is removed    |
      | data centre "a1" is evacuated now |

  Scenario Outline: The store's answers reach its followers late, then <change>
    Given a target "t1" that answers
    And entries "e1" to "e3" of which the first 2 watch the store
    When "e1" and "e2" get the store's answers 2800 ms late
    And <change>
    Then "e1" and "e3" apply it within 2500 ms

    Examples:
      | change             |
      | a route is dropped |
      | a target drains    |

  Scenario: The store answers reads but no watches
    Given a target "t1" that answers
    And entries "e1" to "e2" of which the first 2 watch the store
    When the store refuses the watches of "e1" and "e2"
    And a route is dropped
    Then "e1" and "e2" apply it within 2500 ms

  Scenario: Logs tell where a revision came from, and how old the one before was
    Given a target "t1" that answers
    And entries "e1" to "e3" of which the first 2 watch the store
    When a route is dropped
    Then "e1" and "e3" apply it within 2500 ms
    And the log of "e1" has "config_applied" with "revision=9 from=5", "source=watch", "storeMillis" and "absentAtStoreMillis"
    And the log of "e3" has "newer_state_announced" with "revision=9 ", "knownRevision=5", "configAgeMillis" and "peer=e"
    And the log of "e3" has "state_borrowed" with "from=127", "rows=1", "tookMillis" and "configAgeMillis"
    And the log of "e3" has "config_applied" with "revision=9", "source=127", "version=" and "ageMillis"
    When a caller of "e3" gets "/brief/x" 1 times in a row
    Then the log of "e3" has "request" with "revision=9", "configAgeMillis", "targetsAgeMillis" and "outcome"

  Scenario Outline: An entry takes over what the store confirmed to another one only if it has the same state
    Given an entry that knows all changes to version 10
    When another entry tells that the store confirmed version 30 to it, with the last change at <changed>
    Then the first entry <effect>

    Examples:
      | changed | effect                           |
      | 10      | knows all changes to version 30  |
      | 11      | still knows changes to version 10 |

  Scenario: The state of an entry ages while its machine is suspended
    Given an entry that knows all changes to version 10
    And another entry tells that the store confirmed version 30 to it, with the last change at 10
    When the steady clock stands still for 3000 ms
    Then its state is 3200 ms old
    When the time of day goes back by 3000 ms
    Then its state is 3200 ms old
