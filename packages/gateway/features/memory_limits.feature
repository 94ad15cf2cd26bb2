Feature: The memory that a process holds for others
  Connections, heads, requests in progress, bodies and answers share one limit of the
  process, whatever their kind. What would exceed it is refused at once with a
  Retry-After, and the rest is served.

  Background:
    Given a store with a route of each kind

  Scenario: Heads of many requests don't fill the heap
    Given a target "t1" that answers after 400 ms
    And an entry "e1" with 4000 kB of memory
    When 8 callers of "e1" pipeline 16 requests with heads of 3 kB for "/batch/x"
    Then some of the requests are refused with 503 and a Retry-After within 1000 ms
    And each caller has all answers or one that closes the connection
    And within 4500 ms a caller of "e1" that gets "/read/x" gets 200
    And no memory is held for callers of "e1"

  Scenario: Heads that are never complete don't fill the memory
    Given a target "t1" that answers
    And an entry "e1" with 16000 kB of memory
    When 250 callers of "e1" send 4 kB of a head that they don't complete
    Then the memory of "e1" is within its limit after 1200 ms
    And connections are closed after a 503 with a Retry-After
    And within 4500 ms a caller of "e1" that gets "/read/x" gets 200

  Scenario: Bodies that are never complete don't fill the memory
    Given a target "t1" that answers
    And an entry "e1" with 4000 kB of memory
    When 200 callers of "e1" send 8 of 9 kB of a body for "/batch/x" and stop
    Then some of the requests are refused with 503 and a Retry-After within 1000 ms
    And within 4500 ms a caller of "e1" that gets "/read/x" gets 200

  Scenario: Answers that callers don't read don't fill the memory
    Given a target "t1" that answers with 200 kB
    And an entry "e1" with 8000 kB of memory
    When 40 callers of "e1" pipeline 16 requests for "/batch/x", and read no answers
    Then the buffers that "e1" holds stay below 8000 kB for 3000 ms
    And within 4500 ms a caller of "e1" that gets "/read/x" gets 200

  Scenario: Small requests that are pipelined without end are dropped behind a refusal
    Given a target "t1" that answers after 400 ms
    And an entry "e1" with 16000 kB of memory
    When 4 callers of "e1" pipeline 200 requests with heads of 0 kB for "/batch/x"
    Then some of the requests are refused with 503 and a Retry-After within 1000 ms
    And each caller has all answers or one that closes the connection
    And no memory is held for callers of "e1"

  Scenario: A flood of pipelined requests ends its own connection only
    Given a target "t1" that answers after 400 ms
    And an entry "e1" with 4000 kB of memory
    When 4 callers of "e1" pipeline 4000 requests with heads of 0 kB for "/batch/x"
    Then the memory of "e1" is within its limit after 1200 ms
    And a caller of "e1" that gets "/read/x" gets 200

  Scenario: A body in small pieces takes no more than its bytes
    Then a body of 60 kB in pieces of 1 byte takes less than 200 kB once it is read

  Scenario: Callers leave descriptors for targets
    Given a target "t1" that answers after 200 ms
    And an entry "e1" that may open 400 sockets
    When 260 callers connect to "e1", and the last 25 of them send a request for "/read/x"
    Then 20 of them are refused with 503 and a Retry-After, and the others are served
    And the log has no "target_unreachable"
