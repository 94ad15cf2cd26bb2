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

  Scenario: A free slot is for whoever comes while load is low
    Then a late request is accepted at load 0.2 and refused at load 0.9

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

  Scenario: A late heartbeat of an earlier life changes nothing
    Given an entry that was heard in its second life
    When a heartbeat of its first life arrives
    Then it still counts with its second life
