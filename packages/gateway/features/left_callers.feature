Feature: Callers that leave while the entry reads nothing
  While connections wait to be accepted, or reads take long, the entry reads callers
  only in turns. A request whose caller has closed its connection is not sent to a
  target after that.

  Background:
    Given a store with a route of each kind

  Scenario: A request whose caller leaves as reading pauses is not sent
    Given a target "t1" that answers
    And an entry "e1"
    When 60 callers of "e1" send a request and leave, one in each turn, while others connect and turns take 30 ms
    Then no target received a request of a caller that had left

  Scenario Outline: Queued requests whose callers leave while reading pauses are not sent
    Given a target "t1" that answers after 40 ms
    And an entry "e1"
    When <callers> callers of "e1" that pipeline <requests> requests each are queued and leave, while requests of <others> others take long to read and turns take 30 ms
    Then no target was sent a request over 500 ms after its caller had left

    Examples:
      | callers | requests | others |
      | 200     | 1        | 80     |
      | 200     | 4        | 80     |
