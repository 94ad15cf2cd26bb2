Feature: Steering decisions of the gateway
  Scenario: A request matches the route with the longest path prefix of its host
    Then "/a/b/x" of "one.example" matches route "long" and "/a/x" route "short"
    And "/c/" of "one.example" and "/a/" of "two.example" match no route

  Scenario: A traffic split keeps its weights over short spans
    Given a route split 90 to 10
    Then any 20 consecutive requests include 2 for the smaller part

  Scenario: Retries stay within the fleet's budget during a retry storm at all entries
    Given 12 entries that each receive 20 requests per second
    When every request asks for a retry for 30 seconds
    Then no window of 10 seconds has more retries than 0.2 of its requests plus 64

  Scenario: A restarted entry doesn't spend the fixed allowance a second time
    Then an entry in its first 10 seconds retries at most the ratio of its own requests

  Scenario: Entries that share a cold target limit their total rate
    Given 5 entries of a region and a cold target that takes 3.1 requests per second
    When all entries send as many requests as allowed for 5 seconds
    Then no second has more than 9 requests

  Scenario: A cold target in a large region doesn't receive the first request of every entry at once
    Given 28 entries of a region that share a cold target with 5.1 requests per second
    When all entries send as many requests as allowed for 5 seconds
    Then no second has more than 11 requests
    And for each of 40 targets the entries' rates add up to the target's rate

  Scenario: An older target row never replaces a newer one
    Then a target's rows applied in random order result in its newest state

  Scenario: A row from before a snapshot doesn't bring back a target that the snapshot lacks
    Given a registry that starts with a snapshot of version 9 without targets
    When the row of a target with version 7 arrives
    Then the target is no longer usable

  Scenario: A target whose record lapses during a store outage stays usable for two seconds
    Given a target whose record disappears right after the store recovers
    Then it stays usable for 2 seconds and is removed after that

  Scenario: A target whose record disappears without a store outage is removed at once
    Given a target whose record disappears while the store is available
    Then the target is no longer usable

  Scenario: A new incarnation of a target is cold and not warm for any object
    Given a target that ran requests for object "o1"
    When it registers again with another start time and 3 s of warm-up
    Then it is cold and not warm for "o1"

  Scenario: Requests go to their object's homes while these have capacity
    Given 12 targets and 72 objects with requests for half of the slots
    Then each object's requests use at most 3 targets and 9 in 10 requests go to the first home

  Scenario: Requests overflow from a full home to free targets
    Given an object whose first home is full, and other targets that are free
    Then the request goes to a free target

  Scenario: The remote share of an overloaded region grows at a limited rate
    Given a region with a sixth of the slots at full load
    Then its remote share grows by at most 0.08 in any 2 seconds

  Scenario: A region short of capacity starts with an estimated remote share
    Given a region with a third of the entries and a sixth of the slots
    When its entries start together
    Then its remote share is 0.5 from the start

  Scenario: A starting entry takes over the remote share of its region's entries
    Given entries of a region that report a remote share of 0.3
    When another entry starts with an estimated initial share of 0.5
    Then its remote share is 0.3 and stays within 0.08 of theirs while its own samples show low load

  Scenario: The initial remote share is applied even if it becomes known only after the first requests
    Given a region with a third of the entries and a sixth of the slots
    When requests arrive before the list of entries has been read
    Then the remote share is 0 until then and 0.5 once the list is known

  Scenario: A request that will be late gets a free slot only at low load
    Then a late request is accepted at load 0.2 and refused at load 0.9

  Scenario: A request that can't finish before its deadline is refused even if a slot is free
    Then at load 0.1 a request of 220 ms is refused with 36 ms left and accepted with 100 ms left

  Scenario: A request that can't be served before its deadline is refused at once with a Retry-After
    Then a request with 6000 ms left behind a queue of 8 s is refused with a Retry-After of at least 1.9 s
    And a request with 400 ms left behind a queue of 2 s is refused with a Retry-After of at least 0.13 s

  Scenario: At high load requests go only to their object's homes
    Given 12 targets that are all free except an object's homes
    Then the placement is full at load 0.9, and the request goes to another target at load 0.5

  Scenario: The wait queue serves requests that can still meet their objective before late ones
    Given a wait queue with a late, an urgent and an ordinary request
    Then they are dequeued in the order urgent, ordinary, late

  Scenario: The directory returns the entries of the caller's data centre or else of its region
    Then a data centre with two entries returns both, and one with a single entry returns those of its region

  Scenario: An entry that stops sending heartbeats no longer counts as serving
    Given two entries that sent a heartbeat
    When one of them sends no heartbeat for 1.6 s
    Then only the other counts as serving

  Scenario: The state of another data centre's entries comes from its digests
    Given a digest of entries "c" and "d" of another data centre with 3 requests at a target
    Then both count as serving, and 3 requests are in flight at the target
    And after a digest without "d" only "c" counts as serving
    And after 2.6 s without a digest none counts as serving and 0 requests are in flight at the target

  Scenario: An entry is removed only once it is both silent and no longer listed in the store
    Given two entries that sent a heartbeat
    When a list without "a" is read while "a" is still live, and again when both are silent
    Then "a" is kept by the first read and only "b" is kept by the second

  Scenario: Few entries perform the duties of a data centre
    Then of 14 live entries 1 is the relay and 2 follow the store
    And if the first 2 of 14 lose the store the next 2 follow it

  Scenario: A late heartbeat of an earlier incarnation is ignored
    Given an entry whose second incarnation sent a heartbeat
    When a heartbeat of its first incarnation arrives
    Then the entry is still known with its second incarnation

  Scenario: An entry that restarts with an earlier clock counts as serving again
    Given an entry whose second incarnation sent a heartbeat
    When 5 s later heartbeats of an incarnation with an earlier clock arrive
    Then that incarnation counts as serving
