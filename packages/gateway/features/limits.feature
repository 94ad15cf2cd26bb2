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
