Feature: Faulty answers of targets
  Targets send answers late, twice, without end, or break them off. None of these
  may reach a caller as its own complete answer, and none may prove that a request
  did not run, unless it names that request.

  Background:
    Given a store with a route of each kind

  Scenario Outline: A late copy of another request's answer is not taken for the answer to this one
    Given a target "t1" that sends a late copy of each <kind> before the next answer
    And an entry "e1"
    When a caller of "e1" posts "/write/x" 2 times with a pause of 150 ms
    Then the answer is 502
    And the targets received at most 2 requests

    Examples:
      | kind    |
      | answer  |
      | refusal |

  Scenario: An answer that names no request is not accepted on a connection that was used before
    Given a target "t1" that sends a late copy of each unnamed refusal before the next answer
    And an entry "e1"
    When a caller of "e1" posts "/write/x" 2 times with a pause of 150 ms
    Then the answer is 502
    And the targets received at most 2 requests

  Scenario Outline: An answer without end is given up early, without buffering it
    Given a target "t1" that <flaw>
    And an entry "e1"
    When a caller of "e1" posts "/write/x"
    Then the answer is <status> within 1000 ms, after at most 8000 kB from the target
    And a connection to the targets was closed

    Examples:
      | flaw                                    | status |
      | sends an unsigned answer without end    | 502    |
      | sends a refusal without end             | 503    |
      | sends a header without end              | 502    |
      | sends headers without end               | 502    |
      | sends a status line without end         | 502    |
      | sends informational answers without end | 502    |
      | sends blank lines without end           | 502    |

  Scenario Outline: A refusal whose body is not complete still proves that the request did not run
    Given a target "t1" that <flaw>
    And an entry "e1"
    When a caller of "e1" posts "/write/x"
    Then the answer is 503 within 1000 ms, after at most 0 kB from the target

    Examples:
      | flaw                                   |
      | sends a refusal but not its body       |
      | sends a refusal and resets in its body |

  Scenario: A long 503 of a target that ran the request is not streamed as a refusal
    Given a target "t1" that sends a long 503 after running
    And an entry "e1"
    When a caller of "e1" posts "/write/x"
    Then the answer is 502

  Scenario: A streamed answer that is not complete at the route's timeout is cut
    Given a target "t1" that sends a valid answer without end
    And an entry "e1"
    When a caller of "e1" reads the answer to "/brief/x"
    Then the answer breaks off with an error after at most 800 ms
    And a connection to the targets was closed

  Scenario: A stop cuts a streamed answer at the route's timeout
    Given a target "t1" that sends a valid answer without end
    And an entry "e1"
    When a caller of "e1" reads the answer to "/brief/x" while "e1" stops
    Then the answer breaks off with an error after at most 800 ms

  Scenario: An answer that breaks off doesn't look complete to a caller of HTTP/1.0
    Given a target "t1" that sends most of a long answer and resets
    And an entry "e1"
    When a caller of "e1" gets "/read/x" by HTTP/1.0
    Then the caller's connection was reset within 1000 ms

  Scenario Outline: An answer of unusual framing that breaks off is never forwarded as a success
    Given a target "t1" that <flaw>
    And an entry "e1"
    When a caller of "e1" posts "/write/x"
    Then the answer is 502

    Examples:
      | flaw                                                         |
      | sends half an answer in another transfer coding and resets   |
      | sends half an answer in chunks and closes                    |
      | sends half an answer with a length and closes                |

  Scenario Outline: A request that has not been written when a surplus answer ends its connection is sent on another one
    Given a target "t1" that answers twice
    And an entry "e1"
    When a caller of "e1" posts "/write/x"
    And 12 callers of "e1" post "<path>"
    Then each caller got the status 200

    Examples:
      | path     |
      | /batch/x |
      | /once/x  |

  Scenario Outline: An answer whose status HTTP doesn't know is not passed on
    Given a target "t1" that <flaw>
    And an entry "e1"
    When a caller of "e1" posts "/write/x"
    Then the answer is 502
    And the answer has no signature

    Examples:
      | flaw                                             |
      | answers with the status 000                      |
      | answers with the status 099                      |
      | answers with the status 600                      |
      | answers with the status 999                      |
      | answers with the status 600 at length            |
      | answers that it did not run, with the status 600 |

  Scenario: An answer with an unknown status is not passed on by the entry that forwarded the request
    Given a target "t1" that answers with the status 600
    And an entry "e2"
    And an entry "e1" without links to "t1"
    And "e1" knows within 5 s that "e2" serves
    When a caller of "e1" posts "/write/x"
    Then the answer is 502
    And the answer has no signature

  Scenario: An answer with an unknown status ends no other request on its caller's connection
    Given a target "t1" that answers the request p1 with the status 600
    And an entry "e1"
    When a caller of "e1" pipelines 4 requests
    Then the statuses of these answers are "200,502,200,200"
