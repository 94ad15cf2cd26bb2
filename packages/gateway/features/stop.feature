Feature: A stop loses no request that was read
  A stopping entry answers every request that it has read: with the target's answer,
  or with a refusal if the request did not run, so that its caller can send it to
  another entry. The route /read/ is idempotent, /batch/ is at-most-once and may take
  long.

  Background:
    Given a store with a route of each kind

  Scenario: Requests that wait in the queue at the end of the grace period are refused
    Given a target "t1" that answers after 900 ms
    And an entry "e1" with a grace period of 2 s
    When a caller of "e1" posts "/write/x"
    And 30 callers of "e1" post "/batch/x", and "e1" stops after 200 ms
    Then each caller got an answer
    And the requests that reached no target were refused with a Retry-After

  Scenario: A request that is at its target at the end of the grace period is answered as failed
    Given a target "t1" that never answers
    And an entry "e1" with a grace period of 1 s
    When 3 callers of "e1" post "/batch/x", and "e1" stops after 200 ms
    Then each caller got the status 502

  Scenario: A connection on which requests always overlap is closed by an answer that announces it
    Given a target "t1" that answers after 200 ms
    And an entry "e1" with a grace period of 2 s
    When 4 callers of "e1" pipeline a request every 50 ms until they are told to stop, and "e1" stops after 500 ms
    Then each connection ended with an answer that announced the close
    And the targets received no request that was not answered

  Scenario: A request after the announced close of a connection doesn't reset it
    Given a target "t1" that answers with 400 kB after 100 ms
    And an entry "e1" with a grace period of 2 s
    When a caller of "e1" goes on sending requests behind one that it reads slowly, and "e1" stops
    Then all 400 kB of its answer arrive

  Scenario: A caller that goes on sending gets the answer before the announced close, read late
    Given a target "t1" that answers with 400 kB after 100 ms
    And an entry "e1" with a grace period of 6 s
    When a caller of "e1" goes on sending requests behind one whose answer it reads after 1500 ms, and "e1" stops
    Then all 400 kB of its answer arrive

  Scenario: A caller that goes on sending is read while others are accepted, once its connection ends
    Given a target "t1" that answers with 400 kB after 100 ms
    And an entry "e1" with a grace period of 6 s
    When a caller of "e1" goes on sending requests behind one whose answer it reads after 2500 ms, and "e1" stops while it accepts 260 others in turns of 10 ms
    Then all 400 kB of its answer arrive

  Scenario: Connections that wait when the listener closes are accepted and answered
    Given a target "t1" that answers
    And an entry "e1" with a grace period of 2 s
    When 20 callers of "e1" connect and send a request in a stall at whose end its listener closes
    Then each caller got an answer

  Scenario: A slow event loop resets no connections that wait when the listener closes
    Given a target "t1" that answers
    And an entry "e1" with a grace period of 8 s
    When 200 callers of "e1" connect and send a request in a stall at whose end its listener closes, and turns of the event loop take 2 ms
    Then each caller got an answer

  Scenario: Connections that wait longer than a stop accepts first are accepted after that
    Given a target "t1" that answers
    And an entry "e1" with a grace period of 4 s
    When 100 callers of "e1" connect and send a request in a stall at whose end its listener closes, and turns of the event loop take 10 ms
    Then each caller got an answer

  Scenario: Requests that a stop has no time to read are refused
    Given a target "t1" that answers
    And an entry "e1" with a grace period of 3 s
    When 20 callers of "e1" send a request each while it reads nothing, and "e1" stops
    Then each caller got the status 503

  Scenario: Callers that go on sending and read late are refused by a stop that had no time to read
    Given a target "t1" that answers
    And an entry "e1" with a grace period of 6 s
    When 20 callers of "e1" go on sending while it reads nothing, and read the answers after 3300 ms, and "e1" stops
    Then each caller got the status 503

  Scenario: Requests of whose heads a stop has read a part only are refused
    Given a target "t1" that answers
    And an entry "e1" with a grace period of 2 s
    When 3 callers of "e1" send a part of a head each, and "e1" stops
    Then each caller got the status 503

  Scenario: A request on a kept connection is answered while others are accepted
    Given a target "t1" that answers
    And an entry "e1" with a grace period of 8 s
    When 20 callers of "e1" send a request each, and another one while it accepts 200 before its listener closes
    Then each of these callers got two answers

  Scenario: Callers are read again although turns of the event loop stay long
    Given a target "t1" that answers
    And an entry "e1"
    When 100 callers of "e1" send a request each, and another one while 4 callers connect and turns of the event loop take 30 ms
    Then each of these callers got two answers

  Scenario: A malformed request doesn't cut off the answers of those before it
    Given a target "t1" that answers after 200 ms
    And an entry "e1"
    When a caller of "e1" pipelines a request and a malformed one
    Then the caller got a 200 that closes its connection

  Scenario: A malformed body is rejected after the answers of the requests before it
    Given a target "t1" that answers after 200 ms
    And an entry "e1"
    When a caller of "e1" pipelines a request and one whose chunks are malformed
    Then the caller got the answers 200 and 400

  Scenario: A read that may have run and waits for its next send is not refused as not run
    Given a target "t1" that closes without an answer
    And a target "t2" that closes without an answer
    And an entry "e1" with a retry budget
    When "e1" stops while a read that was sent waits for its next send
    Then the read is answered with 502
