Feature: Decisions of the gateway
  Scenario: The longest prefix of the host wins
    Then "/a/b/x" of "one.example" goes to route "long" and "/a/x" to route "short"
    And "/c/" of "one.example" and "/a/" of "two.example" match nothing

  Scenario: A split keeps its weights over short spans
    Given a route split 90 to 10
    Then each 20 requests in a row give 2 to the smaller part

  Scenario: Repeats stay within the fleet's budget when storms come everywhere at once
    Given 12 entries that each take 20 requests a second
    When every answer asks for a repeat for 30 seconds
    Then no 10 seconds hold more repeats than 0.2 of the requests and 64

  Scenario: A restarted entry doesn't spend the fixed allowance again
    Then an entry in its first 10 seconds spends only what its requests earn

  Scenario: Entries that share a cold target keep its rate
    Given 5 entries of a region and a cold target of 3.1 requests a second
    When all of them press for 5 seconds
    Then no second holds more than 9 requests

  Scenario: A cold target in a large region doesn't get every entry's first request at once
    Given 28 entries of a region that share a cold target of 5.1 requests a second
    When all of them press for 5 seconds
    Then no second holds more than 11 requests
    And every target of 40 has a sender

  Scenario: An older row never replaces a newer one
    Then random orders of a target's rows end with its newest state

  Scenario: A record that lapses in an outage stays usable for two seconds
    Given a target whose record disappears right after the store is back
    Then it is usable for 2 seconds and gone after that

  Scenario: A record that disappears in calm times is gone at once
    Given a target whose record disappears while the store is well
    Then it is not usable any more

  Scenario: A new incarnation under the same id is cold and knows no objects
    Given a target that ran requests for object "o1"
    When it registers again with another start and 3 s of warm-up
    Then it is cold and not warm for "o1"

  Scenario: Objects keep to their homes while there is room
    Given 12 targets and 72 objects at half of the slots
    Then each object's requests reach at most 3 targets and 9 in 10 its first home

  Scenario: A full home sends requests elsewhere before they are late
    Given a full first home and free other targets
    Then the request goes to a free target

  Scenario: Homes move only slowly to other regions
    Given a region with a sixth of the slots at full load
    Then its share of homes elsewhere grows by at most 0.08 in any 2 seconds

  Scenario: A region short of room begins with homes elsewhere
    Given a region with a third of the entries and a sixth of the slots
    When its entries start together
    Then half of its homes are elsewhere at once

  Scenario: An entry that starts takes over its region's share
    Given entries of a region that keep a share of 0.3 elsewhere
    When another entry starts that would begin with 0.5
    Then its share is 0.3 and stays within 0.08 of theirs under the same load

  Scenario: A share that isn't known yet doesn't begin as none
    Given a region with a third of the entries and a sixth of the slots
    When requests come before the list of entries is read
    Then the share is 0 until then and 0.5 as soon as it is known

  Scenario: A free slot is for whoever comes while load is low
    Then a late request is accepted at load 0.2 and refused at load 0.9

  Scenario: What can't end in time isn't given a free slot either
    Then at load 0.1 a request of 220 ms is refused with 36 ms left and accepted with 100 ms left

  Scenario: What can't end before its deadline is refused at once
    Then a request with 6000 ms left behind a line of 8 s is refused with a Retry-After of at least 1.9 s
    And a request with 400 ms left behind a line of 2 s is refused with a Retry-After of at least 0.13 s

  Scenario: Under full load requests keep to their object's homes
    Given 12 targets of which all but an object's homes are free
    Then the request is full at load 0.9 and goes elsewhere at load 0.5

  Scenario: Requests that can meet their objective go first, then the oldest
    Given a line with a late, an urgent and an ordinary request
    Then they leave it as urgent, ordinary, late

  Scenario: Callers get the entries of their data centre, or else of their region
    Then a data centre with two entries names both, and one with a single entry names its region

  Scenario: An entry that falls silent is not named
    Given two entries that were heard
    When one is silent for 1.6 s
    Then only the other is named

  Scenario: The entries of another data centre are known from its digests
    Given a digest of entries "c" and "d" of another data centre with 3 requests at a target
    Then both are named, and 3 requests are at the target
    And after a digest without "d" only "c" is named
    And after 2.6 s of silence none is named and 0 requests are at the target

  Scenario: An entry that left is forgotten, a silent one is not
    Given two entries that were heard
    When a list without "a" is read while "a" is still heard, and again when both are silent
    Then "a" counted at first and only "b" counts afterwards

  Scenario: Duties of a data centre fall to few entries
    Then of 14 entries that hear each other 1 is the relay and 2 follow the store
    And when the first 2 of 14 lose the store the next 2 follow it

  Scenario: A late heartbeat of an earlier life changes nothing
    Given an entry that was heard in its second life
    When a heartbeat of its first life arrives
    Then it still counts with its second life
