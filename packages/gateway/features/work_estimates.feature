Feature: Estimates of work times
  A request that is expected to be late is refused. An estimate that nothing measured, or
  that no answer has corrected for some time, doesn't keep a service from being used.

  Background:
    Given a store with a route of each kind

  Scenario: Streamed answers tell how long their service works
    Given a target "t1" that answers with 400 kB after 100 ms
    And an entry "e1"
    When a caller of "e1" has got "/batch/x" 20 times
    Then the next 1 callers of "e1" that get "/read/x" get 200
    And less than 1000 ms of work are expected at "e1"

  Scenario: The objective of one route is not taken for the work time of another
    Given a target "t1" whose answers to "/batch/" have 60000 kB
    And an entry "e1"
    When 1 callers of "e1" ask for "/batch/x", and read no answers
    Then the next 20 callers of "e1" that get "/read/x" get 200

  Scenario: A service that was slow is used again once it is fast
    Given a target "t1" that needs 2000 ms until it gets faster
    And an entry "e1"
    When a caller of "e1" has got "/batch/x" 1 times
    And "t1" gets faster
    Then within 4000 ms a caller of "e1" that waits 300 ms for "/read/x" gets 200
