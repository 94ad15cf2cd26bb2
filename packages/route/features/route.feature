Feature: Routing decisions
  Scenario: Each step of a move includes the previous step, and none exceeds the cap
    Then random moves shift nested sets of blocks and never exceed the cap

  Scenario: Requests leave a saturated home for a free data centre nearby
    Given pools where the home has no free slot and a long queue
    Then the other data centre of the same region is ranked first

  Scenario: A cut-off instance sends no requests to other regions
    Given a cut-off instance and free pools everywhere
    Then only pools of its region and the client's home are candidates

  Scenario: A request waits for a fast target instead of using one ten times slower
    Given three full fast targets and a free one ten times slower
    Then the strategy decides to wait
    And with all fast targets ejected it picks the slow one

  Scenario: A long route is learned, and a few slow targets don't make a short route long
    When a route takes 400 ms on each target
    Then the route is learned as long
    When a short route takes 400 ms on a quarter of its targets and 10 ms on the rest
    Then the short route is not learned as long

  Scenario: Hedges and retries stay within their budget
    Then with 10000 first attempts and a budget of 5 percent at most 520 extra attempts are allowed

  Scenario: Requests under way at an entry that is lost may be retried once each
    Given 40 requests under way at an entry when it is lost
    Then 40 of 60 retries of its requests are allowed
    When 10 requests are sent to it again and it is lost again
    Then 0 of 10 retries of its requests are allowed
    When 5 requests are sent to its next run and it is lost again
    Then 5 of 10 retries of its requests are allowed

  Scenario: A request is held back after two crashes, even if a peer observed one of them
    When a request crashed target "t1" on this instance and target "t2" on a peer
    Then the request is held back
    And a request that crashed only one target is not held back
    And the crashes expire after the retention time

  Scenario: Bulk yields to interactive requests on a link
    Given a link budget of 1000000 bytes per second
    When interactive bytes use up the burst
    Then bulk has to wait and interactive requests don't
