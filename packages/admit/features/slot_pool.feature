Feature: Slot pools
  Scenario: A pool never exceeds its slots, its cap or bulk's share
    Then random requests, completions, drains and clock steps never violate a limit

  Scenario: Every waiting request is admitted or refused in time
    Then all random requests are admitted or refused, and none is admitted after its wait limit

  Scenario: Bulk does not starve behind interactive work
    Given a pool of two targets of 3 slots with a long queue of interactive requests
    When a bulk request arrives
    Then the bulk request is admitted before 20 more interactive requests

  Scenario: A flooding member does not delay another member's request
    Given a pool of two targets of 3 slots where one member has 100 requests waiting
    When another member sends one request
    Then its request is among the next 3 admitted

  Scenario: A flooding member does not keep another member out of a full queue
    Given a pool whose queue of 20 is full of one member's requests
    When another member sends one request
    Then its request is queued and the newest request of the flooding member is refused

  Scenario: Ejection never exceeds the allowed share of a pool's targets
    When every target fails repeatedly
    Then at most 40 percent of 10 targets are ejected

  Scenario: A long-running interactive request counts as bulk
    Given a target of 3 slots with an interactive request that runs too long
    Then bulk gets no slot on this target

  Scenario: A pool that is paused for a handover admits nothing
    Given a paused pool
    Then a request waits until the pool is resumed
