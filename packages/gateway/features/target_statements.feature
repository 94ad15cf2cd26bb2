Feature: Targets that leave or ask for a pause
  A target that leaves says so in all its answers, and one that turns a request away
  may say for how long it wants nothing from that entry. What an answer says counts at
  once, whatever the target's record says.

  Background:
    Given a store with a route of each kind

  Scenario: A target that says in an answer that it leaves gets nothing more
    Given a target "t1" that leaves
    And an entry "e1"
    When a caller of "e1" gets "/read/x" 5 times in a row
    Then "t1" received 1 requests
    And the answer is 503 with a Retry-After

  Scenario: An entry that can't reach the store hears of a target's leaving from its answers
    Given a target "t1" that leaves
    And a target "t2" that answers
    And an entry "e1"
    When "e1" loses the store
    And a caller of "e1" gets "/read/x" 20 times in a row
    Then "t1" received at most 1 request
    And each answer is 200 with its own body

  Scenario: Queued requests with an affinity to a target that leaves don't go there
    Given a target "t1" that leaves and answers after 200 ms
    And an entry "e1"
    When a caller of "e1" posts "/write/x"
    And "t1" no longer leaves, with a new incarnation
    And 12 callers of "e1" post "/batch/x", and "t1" leaves 50 ms later
    Then "t1" received at most 7 requests since
    And each caller got an answer

  Scenario: A record that says ready doesn't bring back a target that leaves
    Given a target "t1" that leaves
    And an entry "e1"
    When a caller of "e1" gets "/read/x" with 900 ms left
    And the record of "t1" says again that it is ready
    And a caller of "e1" gets "/read/x" 3 times in a row
    Then "t1" received 1 requests

  Scenario: A removed record that comes back doesn't bring back a target that leaves
    Given a target "t1" that leaves
    And an entry "e1"
    When a caller of "e1" gets "/read/x" with 900 ms left
    And the record of "t1" is removed and comes back
    And a caller of "e1" gets "/read/x" 3 times in a row
    Then "t1" received 1 requests

  Scenario: A new incarnation of a target that left gets requests
    Given a target "t1" that leaves
    And an entry "e1"
    When a caller of "e1" gets "/read/x" with 900 ms left
    And "t1" no longer leaves, with a new incarnation
    Then "e1" answers 200 to "/read/x" within 2 s

  Scenario: Other entries hear of a target's leaving
    Given a target "t1" that leaves
    And an entry "e1"
    And an entry "e2"
    And an entry "e3" in data centre "b1"
    When a caller of "e1" gets "/read/x" with 900 ms left
    Then within 2 s all entries know that "t1" leaves
    When a caller of "e2" gets "/read/x" with 900 ms left
    Then "t1" received 1 requests

  Scenario: An answer that names no request doesn't say that its target leaves
    Given a target "t1" that leaves, in answers that name no request
    And an entry "e1"
    When a caller of "e1" gets "/read/x" 3 times in a row
    Then no entry logged that "t1" leaves

  Scenario: A target that asks for a pause gets nothing until its end, and requests go elsewhere
    Given a target "t1" that turns requests away with a Retry-After of "1.2"
    And an entry "e1" with a retry budget
    When a caller of "e1" gets "/read/x" with 900 ms left
    And a target "t2" joins
    And 8 callers of each entry send one after another for 0.9 s
    Then "t1" received 1 requests
    And at least 40 callers were served
    When "t1" takes requests again
    Then "t1" gets a request within 3 s of calls to "e1"

  Scenario: A caller hears at once when all targets of a service ask for a pause
    Given a target "t1" that turns requests away with a Retry-After of "4"
    And a target "t2" that turns requests away with a Retry-After of "3"
    And an entry "e1" with a retry budget
    When a caller of "e1" gets "/read/x" 2 times in a row
    And a caller of "e1" gets "/read/x" with 900 ms left
    Then the answer is 503 within 200 ms, with a Retry-After of 2500 to 3500 ms
    And the targets received at most 2 requests

  Scenario: Queued requests that can't wait for the end of a pause are refused at its beginning
    Given a target "t1" that answers after 200 ms
    And an entry "e1"
    When a caller of "e1" posts "/write/x"
    And 12 callers of "e1" post "/batch/x", and "t1" asks for a pause of 100 s 50 ms later
    Then each caller got an answer
    And the requests that reached no target were refused with a Retry-After

  Scenario: After a pause the requests that waited for its end arrive gradually
    Given a target "t1" that turns requests away with a Retry-After of "1"
    And an entry "e1"
    When a caller of "e1" gets "/read/x" with 900 ms left
    And "t1" takes requests again
    And 12 callers of "e1" post "/batch/x"
    Then "t1" received one request alone when the pause was over

  Scenario Outline: The length of a pause is read in each form of the header
    Then a Retry-After of "<header>" means <meaning>

    Examples:
      | header                          | meaning           |
      | 2                               | 2000 ms           |
      | 0.25                            | 250 ms            |
      | 0                               | 0 ms              |
      | in 90 s as a date               | 90000 ms          |
      | in 90 s as an obsolete date     | 90000 ms          |
      | Sun, 06 Nov 1994 08:49:37 GMT   | 0 ms              |
      | 99999999999                     | 3600000 ms        |
      | -1                              | nothing           |
      | soon                            | nothing           |
      | 1, 2                            | nothing           |
      | 1e9                             | nothing           |
