Feature: The time of an entry is shared among all that want something of it
  An entry accepts one connection at each listener in a turn of its event loop, and reads
  all connections in the same turn. Callers whose requests are dear to read don't keep out
  those who come to another listener, who don't keep out callers either.

  Background:
    Given a store with a route of each kind
    And bodies of up to 1000 kB are allowed

  Scenario Outline: New connections at the <listener> listener are served beside callers that are dear to read
    Given a target "t1" that answers
    And an entry "e1" that lists itself
    When 40 callers of "e1" send bodies in chunks of one byte
    And <clients> clients connect to the <listener> listener of "e1" at the same time
    Then each of these clients got a <status> within 1 s

    Examples:
      | listener  | clients | status |
      | directory | 200     | 200    |
      | readiness | 60      | 200    |
      | state     | 200     | 200    |
      | peers     | 200     | 503    |
      | callers   | 200     | 404    |

  Scenario: Large bodies are read before smaller ones that take longer to read
    Given a target "t1" that answers
    And an entry "e1"
    When 40 callers of "e1" send bodies in chunks of one byte
    And a caller of "e1" sends 3 bodies of 300 kB
    Then each request of this caller got a 200 within 4 s

  Scenario: Requests whose callers left are not sent beside callers that are dear to read
    Given a target "t1" that answers
    And an entry "e1"
    When 40 callers of "e1" send bodies in chunks of one byte
    And 60 callers of "e1" send a request each and leave
    Then "t1" received none of their requests

  Scenario: Callers are read although look-ups never end
    Given a target "t1" that answers
    And an entry "e1"
    When 20 clients of "e1" look up entries without a break, turns of the event loop take 5 ms, and a caller sends 10 requests
    Then each request of this caller got a 200 within 1 s

  Scenario: Callers are not read between a pause and the next one, which waits for its end
    Given a target "t1" that answers
    And an entry "e1"
    When 20 callers of "e1" send a request each while it accepts others in two pauses that follow each other
    Then "t1" received no request before the second pause ended
    And each of these callers got an answer

  Scenario: A caller with a kept connection is read beside many new ones
    Given a target "t1" that answers
    And an entry "e1"
    When a caller of "e1" sends 100 bodies of 10 kB, and a request while 400 new callers send bodies in chunks of one byte
    Then each request of this caller got a 200 within 1 s
