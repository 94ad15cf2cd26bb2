Feature: Slot pools
  Scenario: A pool never holds more than its slots, its cap or bulk's share
    Then random requests, ends, drains and clock steps keep every limit

  Scenario: Every request that waits is admitted or refused in time
    Then random requests all end, and none is admitted after its time

  Scenario: Bulk does not starve behind interactive work
    Given a pool of two targets of 3 slots with endless interactive requests waiting
    When bulk requests arrive
    Then bulk is admitted before 20 more interactive requests

  Scenario: A flooding member does not hold back a quiet one
    Given a pool of two targets of 3 slots where one member has 100 requests waiting
    When a quiet member sends one request
    Then it is admitted among the next 3

  Scenario: A flooding member does not fill the queue against a quiet one
    Given a pool whose queue of 20 is full of one member's requests
    When a quiet member sends one request
    Then the quiet member waits and the newest of the other gives way

  Scenario: A bad measurement never empties a pool
    When every target fails again and again
    Then at most 40 percent of 10 targets are set aside

  Scenario: An overstaying request counts as bulk
    Given a target of 3 slots where an interactive request overstays
    Then bulk gets no slot beside it

  Scenario: A pool that waits for a handover admits nothing
    Given a paused pool
    Then a request waits until the pool goes on
