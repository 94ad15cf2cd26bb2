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

  Scenario: Connections that are turned away leave no memory behind
    Given a target "t1" that answers
    And an entry "e1" with 4000 kB of memory that may open 100 sockets
    When 300 callers connect to "e1", and the last 1 of them send a request for "/read/x"
    Then no memory is held for callers of "e1"

  Scenario: A request that was answered 408 is not run when the rest of its body comes
    Given idle callers are waited for 300 ms
    And a target "t1" that answers after 1500 ms
    And an entry "e1"
    When a caller of "e1" gets "/batch/x" and sends half of a body for "/batch/y", and the rest after 1000 ms
    Then the caller's answers are 200 and 408
    And only the first of its requests reached a target

  Scenario: A body that is refused as too large is not held
    Given a target "t1" that answers after 400 ms
    And an entry "e1" with 16000 kB of memory
    When a caller of "e1" gets "/batch/x" and sends 8000 kB for "/batch/y"
    Then the memory of "e1" is within its limit after 300 ms

  Scenario: Trailers that come slowly don't fill the memory
    Given a target "t1" that answers
    And an entry "e1" with 16000 kB of memory
    When 100 callers of "e1" send a body for "/batch/x" with 60 kB of trailers, slowly
    Then the memory of "e1" is within its limit after 300 ms
    And a caller of "e1" that gets "/read/x" gets 200

  Scenario: Idle connections don't keep the bodies of their last requests
    Given bodies of up to 2000 kB are allowed
    And a target "t1" that answers
    And an entry "e1"
    When 10 callers of "e1" post a body of 2000 kB to "/batch/x", one after another, and stay idle
    Then less than 1000 kB of buffers are kept for them

  Scenario: Connections that were read quickly don't all keep their large windows
    Given bodies of up to 2000 kB are allowed
    And a target "t1" that answers
    And an entry "e1" with 100000 kB of memory
    When 40 callers of "e1" post a body of 2000 kB to "/batch/x", one after another, and stay idle
    Then at most 12 of their connections stay open, the others were closed by an answer

  Scenario: Idle connections with large windows are closed where there is no room for them
    Given bodies of up to 2000 kB are allowed
    And a target "t1" that answers
    And an entry "e1" whose process may take 300000 kB more
    When 24 callers of "e1" post a body of 2000 kB to "/batch/x", one after another, and stay idle
    And the process takes so much more that "e1" has no room beside it
    Then within 1000 ms a caller of "e1" that gets "/read/x" gets 200
    And some of their connections stay open, the others were closed without another answer

  Scenario: Connections with large windows are closed by an answer where there is little room
    Given bodies of up to 2000 kB are allowed
    And a target "t1" that answers
    And an entry "e1" whose process may take 300000 kB more
    When 10 callers of "e1" post a body of 2000 kB to "/batch/x", one after another, and stay idle
    And the process takes so much more that "e1" has no room beside it
    And each of them gets "/read/x", one after another
    Then at most 7 of their connections stay open, the others were closed by their last answer

  Scenario: Connections that are closed leave room for others at once
    Given a target "t1" that answers
    And an entry "e1" whose process takes more than all of its memory
    When 600 callers connect to "e1" and leave, one after another
    Then a caller of "e1" that gets "/read/x" gets 200

  Scenario: What callers have sent has no room beside what is resident
    Given a target "t1" that answers
    And an entry "e1" whose process takes more than all of its memory
    When 400 callers connect to "e1", and the last 50 of them send a request for "/read/x"
    Then some of them are refused for lack of memory
    And no memory is held for callers of "e1"
    And within 1000 ms a caller of "e1" that gets "/read/x" gets 200

  Scenario: Targets fill their connections while callers don't read the answers
    Given a target "t1" that answers with 40000 kB
    And an entry "e1"
    When 20 callers of "e1" pipeline 1 requests for "/batch/x", and read no answers
    Then after 1000 ms at least 1000 kB count as not read by "e1"
    And no memory is held for callers of "e1"
    And nothing counts as not read by "e1"

  Scenario: A body in small pieces takes no more than its bytes
    Then a body of 60 kB in pieces of 1 byte takes less than 200 kB once it is read

  Scenario: Callers leave descriptors for targets
    Given a target "t1" that answers after 200 ms
    And an entry "e1" that may open 400 sockets
    When 260 callers connect to "e1", and the last 25 of them send a request for "/batch/x"
    Then 20 of them are refused with 503 and a Retry-After, and the others are served
    And each refusal names the lack of a descriptor
    And the log has no "target_unreachable"
