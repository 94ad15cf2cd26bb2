Feature: Routing decisions
  Scenario: Each step of a move contains the step before it, and none exceeds the cap
    Then random moves shift nested sets of blocks, none above the cap

  Scenario: A saturated home makes a free neighbour cheaper
    Given pools where the home has no free slot and a long queue
    Then the neighbour in the same region is tried first

  Scenario: A cut-off instance stays in its region
    Given a cut-off instance and free pools everywhere
    Then only pools of its region and the client's home are candidates

  Scenario: Waiting for a fast target beats taking one ten times slower
    Given three full fast targets and a free one ten times slower
    Then the strategy waits
    And with all fast targets set aside it takes the slow one

  Scenario: A route that proves long is learned, a slowed target does not make it long
    When a route takes 400 ms on each target
    Then it is learned as long
    When a short route takes 400 ms on a quarter of its targets and 10 ms on the rest
    Then it is not learned as long

  Scenario: Extra attempts stay within their budget
    Then over 10000 first attempts at a budget of 5 percent at most 520 extra attempts pass

  Scenario: The second crash holds a request back, also when a peer saw the first
    When a request crashed target "t1" here and target "t2" at a peer
    Then it is held back
    And a request that crashed only one target is not
    And it is forgotten after its time

  Scenario: Bulk yields to interactive bytes on a link
    Given a link budget of 1000000 bytes a second
    When interactive bytes use up the burst
    Then bulk must wait and interactive need not
