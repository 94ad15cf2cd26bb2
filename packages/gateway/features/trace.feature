Feature: Traces of single requests
  A trace joins the log lines of one request with the state changes shortly before
  and during it. The routes are those of gateway.feature.

  Background:
    Given a store with a route of each kind

  Scenario: The trace of a refused request shows the evacuation before it
    Given a target "t1" that answers
    And an entry "e1"
    When data centre "a1" is evacuated
    And a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 503 with a Retry-After
    And the trace of the last request shows "evacuated instance=e1 dataCentre=a1" before "reason=none"

  Scenario: The trace of a request with unknown outcome shows its only send
    Given a target "t1" that closes without an answer
    And an entry "e1"
    When a caller of "e1" posts "/write/x"
    Then the answer is 502
    And the trace of the last request shows "send instance=e1 target=t1" before "outcome=failed"
    And the trace of the last request shows "sends=1" in "outcome=failed"

  Scenario: The trace of a late answer shows the expected and the actual time
    Given a target "t1" that answers after 400 ms
    And an entry "e1"
    When a caller of "e1" gets "/read/x" with 1500 ms left
    Then the answer is 200 with the target's body and signature
    And the trace of the last request shows "send instance=e1 target=t1" before "outcome=answered"
    And the trace of the last request shows an expected time below 400 ms and an actual time of at least that

  Scenario: The trace of a refused request shows whose answer asked for a pause
    Given a target "t1" that turns requests away with a Retry-After of "30"
    And an entry "e1"
    When a caller of "e1" gets "/read/x" 2 times in a row
    Then the answer is 503 with a Retry-After
    And the trace of the last request shows "target_pause instance=e1 target=t1" before "outcome=refused"

  Scenario: The trace of a refused request shows that its targets leave
    Given a target "t1" that leaves
    And an entry "e1"
    When a caller of "e1" gets "/read/x" 2 times in a row
    Then the answer is 503 with a Retry-After
    And the trace of the last request shows "target_leaving instance=e1 target=t1" before "outcome=refused"

  Scenario: A trace leaves out the log lines of other requests and services
    Given a target "t1" that answers
    And an entry "e1"
    When a caller of "e1" gets "/read/x" 3 times in a row
    Then the trace of the last request has 2 lines of its own
    And a request without log lines has an empty trace
