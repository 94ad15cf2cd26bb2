Feature: Callers that read nothing
  A large answer is sent on as its caller reads it, and takes a place at its target until
  then. Callers that read nothing don't keep such places from others.

  Background:
    Given a store with a route of each kind

  Scenario: Streamed answers that callers don't read don't keep a target from others
    Given a target "t1" whose answers to "/batch/" have 60000 kB
    And an entry "e1"
    When 8 callers of "e1" ask for "/batch/x", and read no answers
    Then within 4000 ms a caller of "e1" that gets "/read/x" gets 200

  Scenario: Streamed answers behind one that takes long don't keep a target from others
    Given a target "t1" whose answers have 400 kB, but for those to "/read/", the first of them after 7000 ms
    And an entry "e1"
    When a caller of "e1" pipelines 8 requests for "/batch/x"
    Then within 4000 ms a caller of "e1" that gets "/read/x" gets 200

  Scenario: A streamed answer that is read slowly is complete while nothing waits for its place
    Given a target "t1" whose answers to "/batch/" have 20000 kB
    And an entry "e1" with 4000000 kB of memory
    When a caller of "e1" gets "/batch/x", and reads nothing for 3500 ms
    Then each caller's answer is complete

  Scenario: A streamed answer whose caller reads on is not cut where others need its place
    Given a target "t1" whose answers to "/batch/" have 20000 kB
    And an entry "e1" with 4000000 kB of memory
    When 4 callers of "e1" ask for "/batch/x", and read 250 kB every 40 ms
    And another caller of "e1" gets "/read/x" again and again for 3500 ms
    Then each caller's answer is complete

  Scenario: A streamed answer is not cut for requests that may not use its target
    Given a target "t2" in "b1" whose answers to "/batch/" have 20000 kB
    And an entry "e1" with 4000000 kB of memory
    When 2 callers of "e1" ask for "/batch/x", and read no answers
    And another caller of "e1" gets "/read/x" again and again for 500 ms
    And a target "t1" in "a1" that works for 60 ms
    And 40 other callers of "e1" get "/home/x" again and again for 4000 ms
    And the callers read their answers
    Then some of those callers were served, and others refused as full
    And each caller's answer is complete

  Scenario: A streamed answer that is not read doesn't keep others from a target that has paused
    Given a target "t1" whose answers to "/batch/" have 20000 kB
    And an entry "e1" with 4000000 kB of memory
    When 1 callers of "e1" ask for "/batch/x", and read no answers
    And "t1" asks "e1" for a pause of 500 ms
    Then within 4000 ms a caller of "e1" that gets "/read/x" gets 200

  Scenario: An answer whose caller reads on is not cut at once for what was not read yet
    Given a target "t1" whose answers to "/batch/" have 8000 kB
    And a target "t2" whose answers to "/batch/" have 8000 kB
    And a target "t3" whose answers to "/batch/" have 8000 kB
    And an entry "e1" whose process takes more than all of its memory
    When the memory of "e1" is watched
    And 9 callers of "e1" ask for "/batch/x", and read 250 kB every 40 ms
    Then each caller's answer is complete
    And for 200 ms the entry may not have read more than it has room for, and held less

  Scenario: A streamed answer whose caller reads on is not cut for what was not read yet
    Given a target "t1" whose answers to "/batch/" have 20000 kB
    And a target "t2" whose answers to "/batch/" have 20000 kB
    And a target "t3" whose answers to "/batch/" have 20000 kB
    And an entry "e1" whose process takes more than all of its memory
    When the memory of "e1" is watched
    And 7 callers of "e1" ask for "/batch/x", and read 100 kB every 40 ms
    And 2 other callers of "e1" ask for "/batch/x", and read nothing for 3500 ms
    Then each caller's answer is complete
    And the answers of those other callers were cut
    And for 1500 ms the entry may not have read more than it has room for, and held less

  Scenario: An answer that is read quickly leaves room for others
    Given a target "t1" whose answers to "/batch/" have 60000 kB
    And an entry "e1" whose process takes more than all of its memory
    When 3 callers of "e1" ask for "/batch/x", and read 30000 kB every 5 ms
    And others get "/read/x" from "e1" on new connections for 800 ms
    Then each caller's answer is complete
    And none of the others is refused for lack of memory
