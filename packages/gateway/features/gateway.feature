Feature: The gateway over real sockets
  Entries and targets are in data centre a1 unless a step names another one. The
  route /read/ is idempotent, /write/ is at-most-once, /brief/ has a timeout of
  300 ms, and /home/ allows only targets in region a. Without "a retry budget",
  an entry may not retry.

  Background:
    Given a store with a route of each kind

  Scenario: A request reaches a target with its remaining deadline, and the answer is forwarded unchanged
    Given a target "t1" that answers
    And an entry "e1"
    When a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 200 with the target's body and signature
    And "t1" received its own id and a deadline of at most 900 ms

  Scenario Outline: A request without a route or beyond a limit is rejected with the proper status
    Given a target "t1" that answers
    And an entry "e1"
    When a caller of "e1" sends <request>
    Then the answer is <status>
    And "t1" received 0 requests

    Examples:
      | request          | status |
      | an unknown path  | 404    |
      | too long headers | 431    |
      | too long a body  | 413    |

  Scenario: An entry without any state refuses requests with a Retry-After
    Given an entry "e1" that can't reach the store
    When a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 503 with a Retry-After

  Scenario: An idempotent request is retried on another target when its connection breaks
    Given a target "t1" that closes without an answer
    And a target "t2" that answers
    And an entry "e1" with a retry budget
    When a caller of "e1" gets "/read/x" 5 times in a row
    Then each answer is 200 with its own body
    And "t1" received at least 1 request

  Scenario: An at-most-once request is not retried when its connection breaks
    Given a target "t1" that closes without an answer
    And a target "t2" that closes without an answer
    And an entry "e1" with a retry budget
    When a caller of "e1" posts "/write/x"
    Then the answer is 502
    And the targets received at most 1 requests

  Scenario: An at-most-once request that no target ran is refused with a Retry-After
    Given a target "t1" that refuses without running
    And a target "t2" that refuses without running
    And an entry "e1" with a retry budget
    When a caller of "e1" posts "/write/x"
    Then the answer is 503 with a Retry-After
    And the targets received at most 2 requests

  Scenario: A target's 503 after running an at-most-once request is not forwarded as a refusal
    Given a target "t1" that answers 503 after running
    And an entry "e1"
    When a caller of "e1" posts "/write/x"
    Then the answer is 502

  Scenario Outline: A corrupt answer is never forwarded as a success
    Given a target "t1" that <flaw>
    And an entry "e1"
    When a caller of "e1" posts "/write/x"
    Then the answer is 502

    Examples:
      | flaw                                            |
      | answers without a signature                     |
      | answers with an encoding                        |
      | answers with the id of another request          |
      | resets in the middle of an answer with a length |
      | resets at the end of an answer without a length |
      | sends bytes that are not HTTP                   |

  Scenario: A target that drops idle connections fails one request, not each one after a pause
    Given a target "t1" that drops connections after 60 ms of idle time
    And an entry "e1"
    When a caller of "e1" posts "/write/x" 5 times with a pause of 150 ms
    Then at most 1 answer is not 200

  Scenario: An answer that ends with its connection is forwarded completely
    Given a target "t1" that answers without a length
    And an entry "e1"
    When a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 200 with the target's body and signature

  Scenario: A request with two Host lines is rejected and leaves its target in use
    Given a target "t1" that answers
    And an entry "e1"
    When a caller of "e1" sends two Host lines
    Then each caller got the status 400
    And no entry found a target unreachable

  Scenario: A request without a Host line is rejected
    Given a target "t1" that answers
    And an entry "e1"
    When a caller of "e1" sends no Host line
    Then each caller got the status 400

  Scenario: A request with an unknown expectation is served
    Given a target "t1" that answers
    And an entry "e1"
    When a caller of "e1" sends an unknown expectation
    Then each caller got the status 200

  Scenario: A surplus answer on a connection is never forwarded
    Given a target "t1" that answers twice
    And an entry "e1"
    When a caller of "e1" gets "/read/x" 5 times in a row
    Then each answer is 200 with its own body

  Scenario: A request without an answer fails at the route's timeout, and its connection to the target is closed
    Given a target "t1" that never answers
    And an entry "e1"
    When a caller of "e1" gets "/brief/x" with 5000 ms left
    Then the answer is 504 after the route's 300 ms
    And a connection to the targets was closed

  Scenario: The connection to the target is closed when the caller disconnects
    Given a target "t1" that never answers
    And an entry "e1"
    When a caller of "e1" disconnects after 100 ms
    Then a connection to the targets was closed

  Scenario: All pipelined requests of a caller that disconnects are cancelled
    Given a target "t1" that never answers
    And an entry "e1"
    When a caller of "e1" pipelines 3 requests and disconnects after 100 ms
    Then within 500 ms 3 connections to "t1" are closed

  Scenario: A request whose caller disconnected during a stall of the entry is not sent to a target
    Given a target "t1" that answers
    And an entry "e1"
    When 5 callers of "e1" send a request and disconnect while the process stalls for 400 ms
    Then "t1" received 0 requests

  Scenario: A request whose caller disconnected before it was read is not sent to a target
    Given a target "t1" that answers
    And an entry "e1"
    When 5 callers of "e1" send a request and disconnect before it is read
    Then "t1" received 0 requests

  Scenario: A stall of the event loop is detected however often the monitor is queried
    When each turn of the event loop takes 60 ms and queries the stall monitor 20 times
    Then a stall was detected

  Scenario: Pipelined requests are answered in order
    Given a target "t1" that answers slowly at first
    And an entry "e1"
    When a caller of "e1" pipelines 4 requests
    Then 4 answers arrive in order

  Scenario: A draining target receives no new requests
    Given a target "t1" that answers
    And a target "t2" that answers
    And an entry "e1"
    When "t1" reports that it drains
    And a caller of "e1" gets "/read/x" 10 times in a row
    Then "t1" received 0 requests

  Scenario: A target in an evacuated data centre receives no requests
    Given a target "t1" that answers
    And an entry "e1"
    When data centre "a1" is evacuated
    And a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 503 with a Retry-After
    And "t1" received 0 requests

  Scenario: After an evacuation the data centre's targets receive requests again, limited to the warm-up rate at first
    Given a target "t1" that answers
    And an entry "e1"
    When data centre "a1" is evacuated
    And the evacuation of data centre "a1" ends
    Then "e1" answers 200 to "/read/x" within 1 s
    And "t1" receives at most 20 requests while 10 callers of "e1" send one after another for 400 ms

  Scenario: An entry that doesn't know the others yet sends nothing to a cold target
    Given a target "t1" that answers
    And 4 entries that start together and can't read the list of entries
    When "t1" becomes cold
    And 3 callers of each entry send one after another for 2 s
    Then "t1" received 0 requests

  Scenario: A route uses only targets in its allowed regions
    Given a target "t1" in data centre "b1" that answers
    And an entry "e1"
    When a caller of "e1" gets "/home/x" with 900 ms left
    Then the answer is 503 with a Retry-After
    And "t1" received 0 requests
    When a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 200 with the target's body and signature

  Scenario: A large answer is streamed to the caller
    Given a target "t1" that sends 400 kB slowly
    And an entry "e1"
    When a caller of "e1" streams the answer to "/read/x"
    Then the first part arrives before the target has sent the last
    And all 400 kB arrive in order
    And the process emitted no warning about leaked listeners

  Scenario: A streamed answer that the target cuts short doesn't look complete
    Given a target "t1" that sends 400 kB slowly and resets at the end
    And an entry "e1"
    When a caller of "e1" streams the answer to "/read/x"
    Then the answer is cut short with an error

  Scenario: A target that answers before it has read the body doesn't corrupt later requests
    Given a target "t1" that answers early
    And an entry "e1"
    When a caller of "e1" posts a body of 9000 bytes to "/write/x" 4 times in a row
    Then each answer is 200 with its own body
    And the targets received 4 complete requests

  Scenario: Large bodies that exceed the memory together are refused, and small ones are served
    Given bodies of up to 1000 kB are allowed
    And a target "t1" that answers after 400 ms
    And an entry "e1" with 6000 kB of memory
    When 3 callers of "e1" post bodies of 1000 kB to "/batch/x", and 2 callers bodies of 1 kB
    Then 1 of the large bodies is answered 200, and 2 are answered 503 with a Retry-After
    And all of the small bodies are answered 200
    When 1 callers of "e1" post bodies of 1000 kB to "/batch/x", and 0 callers bodies of 1 kB
    Then 1 of the large bodies is answered 200, and 0 are answered 503 with a Retry-After

  Scenario: An entry that uses most of its memory says so before it ends
    Given an entry "e1" with 4000 kB of memory
    Then the log has a "memory_high"

  Scenario: A body in chunks is not held twice while its answer is due
    Then a body of 4000 kB in chunks takes less than 6000 kB once it is read

  Scenario: A caller that pipelines many requests has few answers in memory
    Given a target "t1" that answers after 400 ms
    And an entry "e1"
    When a caller of "e1" pipelines 40 requests for "/batch/x"
    Then at most 16 of them have run or were refused after 200 ms
    And all 40 are answered in their order

  Scenario: A stop answers pipelined requests in progress and closes the connection after the last
    Given a target "t1" that answers after 400 ms
    And an entry "e1"
    When a caller of "e1" pipelines 3 requests and "e1" stops
    Then 3 answers arrive in order and only the last closes the connection

  Scenario: A stop answers requests that arrive on open connections after it began
    Given a target "t1" that answers after 40 ms
    And an entry "e1"
    When 20 callers of "e1" send one request after another on open connections, and "e1" stops after 300 ms
    Then each request was answered, and each connection was closed after an answer that announced it

  Scenario: A stop answers a request whose head arrives in two parts
    Given a target "t1" that answers
    And an entry "e1"
    When a caller of "e1" sends half a head, and the rest 300 ms after "e1" began to stop
    Then the caller got a 200 that closes the connection

  Scenario: A stop answers the first request on a connection that was just accepted
    Given a target "t1" that answers
    And an entry "e1" with a grace period of 4 s
    When callers of "e1" connect until it refuses connections, and each sends a request 100 ms later
    Then each request was answered, and each connection was closed after an answer that announced it

  Scenario: A stop announces the close of a connection with a rejection too
    Given an entry "e1"
    When a caller of "e1" gets "/nowhere/x" after "e1" began to stop
    Then the answer is 404 and closes the connection

  Scenario: A stop that is requested again doesn't end before its requests are answered
    Given a target "t1" that answers after 400 ms
    And an entry "e1"
    When "e1" is stopped twice while a caller waits for "/read/x"
    Then the answer is 200 and closes the connection
    And each stop ended after the answer

  Scenario: A newer configuration takes effect and an older one is ignored
    Given a target "t1" that answers
    And an entry "e1"
    When revision 9 drops the route "/read/"
    And revision 8 with all routes is written afterwards
    And a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 404

  Scenario: A change that the store's history no longer holds is still applied
    Given a target "t1" that answers
    And an entry "e1"
    When the store drops its history while "t1" drains
    And a caller of "e1" gets "/read/x" with 900 ms left
    Then "t1" received 0 requests

  Scenario: An entry that the store refuses fetches changes from another entry
    Given a target "t1" that answers
    And an entry "e1"
    And an entry "e2"
    When the store refuses "e2" and revision 9 drops the route "/read/"
    Then "e2" answers 404 to "/read/x" within 3 s

  Scenario: An entry that starts while the store is unavailable fetches its state from a seed
    Given a target "t1" that answers
    And an entry "e1"
    And an entry "e2" that can't reach the store, with "e1" as seed
    Then "e2" answers 200 to "/read/x" within 3 s

  Scenario Outline: An entry whose seed's address answers <status> to others fetches its state from another seed
    Given a target "t1" that answers
    And an entry "e1"
    And a peer that answers <status> with '<body>'
    And an entry "e2" that can't reach the store, with "e1" and that peer as seeds
    Then "e2" answers 200 to "/read/x" within 3 s
    And the log names the address from which nothing could be borrowed

    Examples:
      | status | body                   |
      | 404    | {}                     |
      | 503    | {"rows":[],"whole":1}  |
      | 200    | {"state":"serving"}    |

  Scenario: An entry isn't ready while the only state it gets is from a peer that has read no targets
    Given a target "t1" that answers
    And an entry "e1"
    And a peer that has read the configuration of "e1" and no targets
    And an entry "e2" that can't reach the store, with that peer as seed
    Then "e2" has the configuration within 3 s and isn't ready for 1 s
    When the store recovers for "e2"
    Then "e2" answers 200 to "/read/x" within 3 s

  Scenario: A restarted entry doesn't take back a target that left, or an evacuation that ended, from a peer that is behind
    Given a target "t1" that answers
    And a target "t2" that answers
    And an entry "e1"
    And data centre "b1" is evacuated
    And a peer that still has the state of "e1" and sends it after 300 ms
    When the record of "t1" is removed
    And the evacuation of data centre "b1" ends
    And "e1" stops
    And an entry "e2"
    And an entry "e3" that can't reach the store, with "e2" and that peer as seeds
    Then "e3" has only the target "t2" and no evacuation of "b1" for 1 s

  Scenario: An entry that missed the removal of a target learns of it from one that started since
    Given a target "t1" that answers
    And a target "t2" that answers
    And an entry "e1"
    When the store refuses "e1" while the record of "t1" is removed and "t2" reports again
    And an entry "e2"
    Then "t1" is removed from "e1" within 3 s

  Scenario: Entries that start together list each other in their directories
    Given a target "t1" that answers
    And entries "e1" and "e2" that start together
    Then both directories list both entries within 3 s

  Scenario: Two entries of a data centre follow the store, and the others fetch changes from them
    Given a target "t1" that answers
    And an entry "e1"
    And an entry "e2"
    And an entry "e3"
    And an entry "e4"
    Then only "e1" and "e2" watch the store within 4 s
    When revision 9 drops the route "/read/"
    Then "e4" answers 404 to "/read/x" within 1 s
    When "t1" reports that it drains
    Then "e3" knows within 1 s that "t1" drains

  Scenario: When the entries that follow the store lose it, others take over
    Given a target "t1" that answers
    And an entry "e1"
    And an entry "e2"
    And an entry "e3"
    And an entry "e4"
    And only "e1" and "e2" watch the store within 4 s
    When the store refuses "e1" and "e2"
    Then only "e3" and "e4" watch the store within 4 s
    When revision 9 drops the route "/read/"
    Then "e1" answers 404 to "/read/x" within 1 s

  Scenario: When the entries that follow the store stop, others take over
    Given a target "t1" that answers
    And an entry "e1"
    And an entry "e2"
    And an entry "e3"
    And only "e1" and "e2" watch the store within 4 s
    When "e1" stops
    Then only "e2" and "e3" watch the store within 4 s

  Scenario: Entries of other data centres are known from their relay's digests
    Given a target "t1" that answers
    And an entry "e1" in data centre "a2"
    And an entry "e2" in data centre "a2"
    And an entry "e3"
    Then the directory of "e3" lists all 3 entries within 3 s
    When "e1" stops
    Then the directory of "e3" lists "e2" and "e3" within 5 s

  Scenario: A target whose record lapsed during a store outage stays in use for a grace period after the recovery
    Given a target "t1" that answers
    And an entry "e1"
    When the record of "t1" lapses during an outage of the store
    And the store recovers for "e1"
    Then "e1" answers 200 to "/read/x" for 1 s
    And "t1" is removed from "e1" within 3 s

  Scenario: A stop completes requests in progress and closes callers' connections
    Given a target "t1" that answers after 400 ms
    And an entry "e1"
    When "e1" stops while a caller waits for "/read/x"
    Then the answer is 200 and closes the connection
    And "e1" accepts no more connections

  Scenario: A request that crashes its targets is held back
    Given a target "t1" that crashes
    And a target "t2" that crashes
    And a target "t3" that answers
    And an entry "e1" with a retry budget
    When a caller of "e1" sends the same crashing request 6 times
    Then at most 2 targets crashed and the last answer is 503
