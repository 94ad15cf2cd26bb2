Feature: The gateway over real sockets
  Background:
    Given a store with a route of each kind

  Scenario: A request reaches a target with the time that is left, and its answer comes back unchanged
    Given a target "t1" that answers
    And an entry "e1"
    When a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 200 with the target's body and signature
    And "t1" saw its own id and at most 900 ms

  Scenario Outline: Requests beyond the rules are refused with the proper status
    Given a target "t1" that answers
    And an entry "e1"
    When a caller of "e1" sends <what>
    Then the answer is <status>
    And "t1" saw 0 requests

    Examples:
      | what                | status |
      | an unknown path     | 404    |
      | too long headers    | 431    |
      | too long a body     | 413    |

  Scenario: An entry without any state says that nothing ran
    Given an entry "e1" that can't reach the store
    When a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 503 with a Retry-After

  Scenario: An idempotent request goes to another target when its connection breaks
    Given a target "t1" that closes without an answer
    And a target "t2" that answers
    And an entry "e1" that may repeat
    When a caller of "e1" gets "/read/x" 5 times in turn
    Then each answer is 200 with its own body
    And "t1" saw at least 1 request

  Scenario: An at-most-once request is not repeated when its connection breaks
    Given a target "t1" that closes without an answer
    And a target "t2" that closes without an answer
    And an entry "e1" that may repeat
    When a caller of "e1" posts "/write/x"
    Then the answer is 502
    And the targets saw at most 1 requests

  Scenario: An at-most-once request that no target ran is refused with a Retry-After
    Given a target "t1" that refuses without running
    And a target "t2" that refuses without running
    And an entry "e1" that may repeat
    When a caller of "e1" posts "/write/x"
    Then the answer is 503 with a Retry-After
    And the targets saw at most 2 requests

  Scenario: A target's own 503 that may have run is no promise
    Given a target "t1" that answers 503 after running
    And an entry "e1"
    When a caller of "e1" posts "/write/x"
    Then the answer is 502

  Scenario Outline: A spoiled answer never looks like a success
    Given a target "t1" that <flaw>
    And an entry "e1"
    When a caller of "e1" posts "/write/x"
    Then the answer is 502

    Examples:
      | flaw                                            |
      | answers without a signature                     |
      | answers with an encoding                        |
      | answers another request                         |
      | resets in the middle of an answer with a length |
      | resets at the end of an answer without a length |
      | sends bytes that are no answer                  |

  Scenario: A target that forgets idle connections costs one request, not each after a pause
    Given a target "t1" whose idle connections last 60 ms
    And an entry "e1"
    When a caller of "e1" posts "/write/x" 5 times with 150 ms between
    Then at most 1 answer is not 200

  Scenario: An answer that ends with its connection is passed on whole
    Given a target "t1" that answers without a length
    And an entry "e1"
    When a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 200 with the target's body and signature

  Scenario: A second answer on a connection reaches nobody
    Given a target "t1" that answers twice
    And an entry "e1"
    When a caller of "e1" gets "/read/x" 5 times in turn
    Then each answer is 200 with its own body

  Scenario: A request that lasts too long is answered at the route's timeout, and its target is told
    Given a target "t1" that never answers
    And an entry "e1"
    When a caller of "e1" gets "/brief/x" with 5000 ms left
    Then the answer is 504 after the route's 300 ms
    And the targets' connections were dropped

  Scenario: A caller that leaves frees its target
    Given a target "t1" that never answers
    And an entry "e1"
    When a caller of "e1" leaves after 100 ms
    Then the targets' connections were dropped

  Scenario: A caller that left while the entry stood still costs no target anything
    Given a target "t1" that answers
    And an entry "e1"
    When 5 callers of "e1" send a request and leave while the process stands still for 400 ms
    Then "t1" saw 0 requests

  Scenario: A loop that is late counts as late however often it is asked
    When the loop turns every 60 ms and each turn asks 20 times whether it was late
    Then it was late

  Scenario: Pipelined requests are answered in order
    Given a target "t1" that answers slowly at first
    And an entry "e1"
    When a caller of "e1" pipelines 4 requests
    Then 4 answers come in order

  Scenario: A draining target gets nothing new
    Given a target "t1" that answers
    And a target "t2" that answers
    And an entry "e1"
    When "t1" reports that it drains
    And a caller of "e1" gets "/read/x" 10 times in turn
    Then "t1" saw 0 requests

  Scenario: A target in an evacuated data centre gets nothing until that is over
    Given a target "t1" that answers
    And an entry "e1"
    When data centre "a1" is evacuated
    And a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 503 with a Retry-After
    And "t1" saw 0 requests

  Scenario: When an evacuation ends, its targets get requests again, few at first
    Given a target "t1" that answers
    And an entry "e1"
    When data centre "a1" is evacuated
    And the evacuation of data centre "a1" ends
    Then "e1" answers 200 to "/read/x" within 1 s
    And "t1" sees at most 20 requests while 10 callers of "e1" press for 400 ms

  Scenario: A route keeps to its regions
    Given a target "t1" in data centre "b1" that answers
    And an entry "e1"
    When a caller of "e1" gets "/home/x" with 900 ms left
    Then the answer is 503 with a Retry-After
    And "t1" saw 0 requests
    When a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 200 with the target's body and signature

  Scenario: A long answer is passed on part by part
    Given a target "t1" that sends 400 kB slowly
    And an entry "e1"
    When a caller of "e1" reads "/read/x" part by part
    Then the first part comes before the target has sent the last
    And all 400 kB come in order
    And the process warned of nothing

  Scenario: A long answer that breaks off doesn't look complete
    Given a target "t1" that sends 400 kB slowly and resets at the end
    And an entry "e1"
    When a caller of "e1" reads "/read/x" part by part
    Then the answer breaks off

  Scenario: A target that answers before it has read the body spoils no later request
    Given a target "t1" that answers early
    And an entry "e1"
    When a caller of "e1" posts a body of 9000 bytes to "/write/x" 4 times in turn
    Then each answer is 200 with its own body
    And the targets saw 4 whole requests

  Scenario: A stop with pipelined requests answers those that run and closes after the last
    Given a target "t1" that answers after 400 ms
    And an entry "e1"
    When a caller of "e1" pipelines 3 requests and "e1" stops
    Then 3 answers come in order and only the last closes the connection

  Scenario: A configuration takes effect and an older one never comes back
    Given a target "t1" that answers
    And an entry "e1"
    When revision 9 drops the route "/read/"
    And revision 8 with all routes is written again
    And a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 404

  Scenario: Lost history costs nothing
    Given a target "t1" that answers
    And an entry "e1"
    When the store forgets its history while "t1" drains
    And a caller of "e1" gets "/read/x" with 900 ms left
    Then "t1" saw 0 requests

  Scenario: An entry that the store refuses learns from another entry
    Given a target "t1" that answers
    And an entry "e1"
    And an entry "e2"
    When the store refuses "e2" and revision 9 drops the route "/read/"
    Then "e2" answers 404 to "/read/x" within 3 s

  Scenario: An entry that starts while the store is away borrows its state
    Given a target "t1" that answers
    And an entry "e1"
    And an entry "e2" that can't reach the store, with "e1" as seed
    Then "e2" answers 200 to "/read/x" within 3 s

  Scenario: Entries that start together name each other
    Given a target "t1" that answers
    And entries "e1" and "e2" that start together
    Then the directories of both name both within 3 s

  Scenario: Two entries of a data centre follow the store, and the others learn from them
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
    When the store turns "e1" and "e2" away
    Then only "e3" and "e4" watch the store within 4 s
    When revision 9 drops the route "/read/"
    Then "e1" answers 404 to "/read/x" within 1 s

  Scenario: When the entries that follow the store stop, others take over
    Given a target "t1" that answers
    And an entry "e1"
    And an entry "e2"
    And an entry "e3"
    And only "e1" and "e2" watch the store within 4 s
    When "e1" falls silent
    Then only "e2" and "e3" watch the store within 4 s

  Scenario: Entries of other data centres are known from their relay
    Given a target "t1" that answers
    And an entry "e1" in data centre "a2"
    And an entry "e2" in data centre "a2"
    And an entry "e3"
    Then the directory of "e3" names all 3 entries within 3 s
    When "e1" falls silent
    Then the directory of "e3" names "e2" and "e3" within 5 s

  Scenario: A target whose record lapsed while the store was away stays in use when it is back
    Given a target "t1" that answers
    And an entry "e1"
    When the store is away while the record of "t1" lapses
    And the store is back for "e1"
    Then "e1" answers 200 to "/read/x" for 1 s
    And "t1" is gone for "e1" within 3 s

  Scenario: A stop finishes what runs, and callers are told to leave
    Given a target "t1" that answers after 400 ms
    And an entry "e1"
    When "e1" stops while a caller waits for "/read/x"
    Then the answer is 200 and closes the connection
    And "e1" is not ready any more

  Scenario: A request that crashes its targets is held back
    Given a target "t1" that crashes
    And a target "t2" that crashes
    And a target "t3" that answers
    And an entry "e1" that may repeat
    When a caller of "e1" gets the same poisonous request 6 times
    Then at most 2 targets crashed and the last answer is 503
