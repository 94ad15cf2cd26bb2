Feature: Request limits of targets over real sockets
  A target in need names in its answers how many requests per second it takes from
  all entries together. In any 4 seconds it must get at most one and a half times
  that, and 5 requests. Other targets are slower and have
  room for the rest.

  Background:
    Given a store with a route of each kind
    And a target "t2" that answers after 40 ms
    And a target "t3" that answers after 40 ms

  Scenario: A target that names a limit doesn't get more than that from all entries together
    Given a target "t1" that limits itself to 4 requests per second
    And an entry "e1"
    And an entry "e2"
    And an entry "e3" in data centre "a2"
    And an entry "e4" in data centre "b1"
    When 3 callers of each entry send one after another for 6 s
    Then after the first 0.5 s no 4 s have more than 29 requests at "t1"
    And "t1" gets at least 2 requests per second
    And all callers were served

  Scenario: All entries learn of the end of a limit from those that send to the target
    Given a target "t1" that limits itself to 1 request per second
    And "t2" and "t3" drain
    And an entry "e1"
    And an entry "e2"
    And an entry "e3" in data centre "a2"
    And an entry "e4" in data centre "b1"
    When 2 callers of "e1" send one after another until "t1" got a request, and for 2 s more
    Then all entries know a limit of 1 request per second at "t1"
    When "t1" no longer has a limit
    And 2 callers of "e1" send one after another until "t1" got a request, and for 4 s more
    Then all entries know that "t1" has no limit

  Scenario: An entry that starts learns of limits from the others before it sends anything
    Given a target "t1" that limits itself to 1 request per second
    And an entry "e1"
    When 8 callers of each entry send one after another for 1 s
    Then all entries know a limit of 1 request per second at "t1"
    When an entry "e2" starts
    Then within 2 s all entries know a limit of 1 request per second at "t1"

  Scenario: A refusal that names no limit doesn't end it
    Given a target "t1" that limits itself to 2 requests per second and refuses every third without naming it
    And an entry "e1"
    When 8 callers of each entry send one after another for 6 s
    Then after the first 0.5 s no 4 s have more than 17 requests at "t1"
    And no entry logged that the limit of "t1" ended

  Scenario: A queued request whose caller disconnected during a stall of the entry is not sent
    Given a target "t1" that limits itself to 20 requests per second
    And "t2" and "t3" drain
    And an entry "e1"
    When 2 callers of each entry send one after another for 2 s
    And 8 callers of "e1" are queued and disconnect while the process stalls for 600 ms
    Then none of their requests was sent after that
