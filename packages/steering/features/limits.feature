Feature: Rates that a target takes from all entries together
  A target in need names a limit: the requests per second that it takes from all
  entries together. In any 4 seconds it must get at most one and a half times that,
  and 5 requests, whatever each entry knows of the others. The entries always send
  as much as their part allows.

  Scenario: Entries that share a limit never exceed it together
    Then for 1 to 60 entries and limits of 0.2 to 40 the target gets at most 1.5 times the limit and 5 requests in any 4 s
    And over a minute it gets 0.8 to 1.2 times the limit

  Scenario: An entry that joins doesn't add to the limit
    Given 5 entries that share a limit of 3 requests per second
    When another entry joins, and the others learn of it 1 s later
    Then no 4 s have more than 23 requests

  Scenario: Entries that restart one after another don't exceed the limit
    Given 5 entries that share a limit of 3 requests per second
    When they restart one after another, 1 s apart
    Then no 4 s have more than 23 requests

  Scenario: Two halves that can't hear each other don't exceed the limit together
    Given 8 entries that share a limit of 3 requests per second
    When each half believes that the other half is down
    Then no 4 s have more than 23 requests

  Scenario: A single entry takes over a part when all senders are down
    Given 12 entries that share a limit of 1 request per second
    When all senders are down
    Then exactly one other entry sends, and no 4 s have more than 11 requests

  Scenario: An older observation of a limit never replaces a newer one
    Given an entry that saw a target's limit of 5 end
    When another entry reports the limit of 5 as seen before that
    Then the target has no limit
    And the end of the limit is announced again

  Scenario: Every limit in force is repeated within a few messages
    Given 70 targets with limits, of which 3 began lately
    Then each message has the 3, at most 16 limits, and 60 messages have all
