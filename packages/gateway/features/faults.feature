Feature: Errors in the entry itself
  An error in the processing of one request fails that request and no other. An error
  that nothing handles ends the process, after the requests in progress are answered
  and with all that is known of it in the log.

  Background:
    Given a store with a route of each kind

  Scenario: A long answer whose target closes while an earlier answer is due arrives whole
    Given a target "t1" that answers /read/0 slowly, and others with a long body before it closes
    And an entry "e1"
    When 16 callers of "e1", one after another, pipeline "/read/0" and a request for 264 to 324 kB
    Then each caller got both answers whole

  Scenario: An error while an answer is recorded fails that request at once
    Given a target "t1" that answers after 200 ms
    And an entry "e1"
    When a caller of "e1" gets "/read/x", and the entry fails to record the answer
    Then the answer is 502 within 600 ms, after at most 0 kB from the target
    And the log has a "request_fault" with the request's id and the stack
    When a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 200 with the target's body and signature

  Scenario: An error that nothing handles ends the process after its requests are answered
    Given a target "t1" that answers after 400 ms
    And an entry "e1" with a grace period of 2 s
    When nothing handles an error while a caller of "e1" waits for "/read/x"
    Then the answer is 200 and closes the connection
    And the process ended with code 1, after the answer
    And the log has an "uncaught_error" with the request's id and the stack

  Scenario: A stop that hangs ends before the grace period is over
    When the stop of a gateway with a grace period of 1 s never ends
    Then the process ended with code 0 within 1000 ms

  Scenario Outline: An entry that names no address to send to is ignored
    Given a target "t1" that answers
    And an entry "e1"
    When a <message> reaches "e1" from an entry whose peer address is <address>
    Then the log has a "message_unreadable"
    And a caller of "e1" that gets "/read/x" gets 200

    Examples:
      | message   | address           |
      | heartbeat | missing           |
      | heartbeat | "127.0.0.1:70000" |
      | digest    | "127.0.0.1"       |

  Scenario Outline: A state answer that can't be used ends no entry
    Given a target "t1" that answers
    And an entry "e1"
    And a peer that sends <answer> as its state
    And an entry "e2" that can't reach the store, with "e1" and that peer as seeds
    Then "e2" answers 200 to "/read/x" within 3 s
    And the log has a "borrow_failed"

    Examples:
      | answer                      |
      | an empty object             |
      | a row that is null          |
      | limits without a time       |
      | a target without an address |

  Scenario: A check of the memory that lacks a descriptor ends nothing
    Given a target "t1" that answers
    And an entry "e1"
    When the resident memory can't be read for 800 ms, for lack of a descriptor
    Then the log says once that the resident memory is unknown
    When a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 200 with the target's body and signature
