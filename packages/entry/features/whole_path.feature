@system
Feature: The complete request path
  Background:
    Given targets "a1-t1, a2-t1, b1-t1" that take 5 ms per request
    And entries "e1 in a1, e2 in a2, e3 in b1" with the fleet published

  Scenario: A look-up at any entry directs the caller to its home data centre
    When a caller with client "10.3.0.1" asks "e1" for a look-up
    Then "e3" is listed first
    And the answer contains a time to live and revision 1

  Scenario Outline: A request runs in its home data centre whichever entry receives it
    When a request for client "<client>" is sent to "e1"
    Then it is answered completely by target "<target>"

    Examples:
      | client   | target |
      | 10.1.0.1 | a1-t1  |
      | 10.2.0.1 | a2-t1  |
      | 10.3.0.1 | b1-t1  |

  Scenario Outline: Refusals carry their code and outcome
    When <request> is sent to "e1"
    Then it is refused as "<result>" with outcome "<outcome>"

    Examples:
      | request                        | result           | outcome |
      | a path without a service       | bad-request      | not-run |
      | an unknown member              | unknown-member   | not-run |
      | an unknown service             | unknown-service  | not-run |
      | a charge without a key         | key-required     | not-run |
      | a timeout that is no number    | bad-request      | not-run |
      | headers beyond the limit       | header-too-large | not-run |
      | a body beyond the limit        | body-too-large   | not-run |
      | a forged ticket                | ticket-invalid   | not-run |

  Scenario: Large bodies are streamed in both directions
    When a body of 300000 bytes is posted to the idempotent route at "e1" for client "10.3.0.1"
    Then the answer echoes the complete body

  Scenario: A caller's cancellation reaches the target
    Given target "b1-t1" takes 5000 ms per request
    When a caller sends a request for client "10.3.0.1" to "e1" and disconnects
    Then target "b1-t1" observes a cancellation

  Scenario: A deadline is forwarded and ends the request
    Given target "b1-t1" takes 5000 ms per request
    When a request for client "10.3.0.1" with a timeout of 200 ms is sent to "e1"
    Then it is refused as "deadline-while-running" with outcome "unknown"

  Scenario: Operators need a credential
    When the operator interface of "e1" is called without a token and with a wrong one
    Then both calls are refused and disclose nothing
    And with the right token the status lists 3 instances

  Scenario: One of two concurrent edits of the same revision is refused
    When two operators edit revision 1 at "e1" and "e3" at once
    Then one edit is in force everywhere and the other is refused as a conflict that names both

  Scenario: Explain returns the logged decision
    When a request for client "10.2.0.1" is sent to "e1"
    Then explain at "e1" returns home "a2" and the chosen data centre "a2" for it
