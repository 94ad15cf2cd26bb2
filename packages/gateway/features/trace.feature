Feature: From a request's id to its cause
  Background:
    Given a store with a route of each kind

  Scenario: Refused although there is room elsewhere
    Given a target "t1" that answers
    And an entry "e1"
    When data centre "a1" is evacuated
    And a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 503 with a Retry-After
    And the trace of the last request shows "evacuated instance=e1 dataCentre=a1" before "reason=none"

  Scenario: Outcome unknown after a cut
    Given a target "t1" that closes without an answer
    And an entry "e1"
    When a caller of "e1" posts "/write/x"
    Then the answer is 502
    And the trace of the last request shows "send instance=e1 target=t1" before "outcome=failed"
    And the trace of the last request shows "sends=1" in "outcome=failed"

  Scenario: Late behind a slowed target
    Given a target "t1" that answers after 400 ms
    And an entry "e1"
    When a caller of "e1" gets "/read/x" with 1500 ms left
    Then the answer is 200 with the target's body and signature
    And the trace of the last request shows "send instance=e1 target=t1" before "outcome=answered"
    And the send of the last request says what was expected and that the target took 400 ms or more

  Scenario: Lines of other requests and other services are left out
    Given a target "t1" that answers
    And an entry "e1"
    When a caller of "e1" gets "/read/x" 3 times in turn
    Then the trace of the last request has 2 lines of its own
    And a request that nobody logged has an empty trace
