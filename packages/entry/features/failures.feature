@system
Feature: Failures of targets, entries and the store
  Plain requests are idempotent and may be retried. Charges are not idempotent:
  they carry a key and must run at most once.

  Background:
    Given targets "a1-t1, a1-t2, a2-t1, b1-t1" that take 5 ms per request
    And entries "e1 in a1, e2 in a1, e3 in a2, e4 in b1" with the fleet published

  Scenario: A truncated answer is never delivered as complete
    Given target "a1-t1" cuts its answers short
    When 20 requests are sent to "e1"
    Then all are answered completely
    When 20 charges are sent to "e1"
    Then each is answered completely or refused as "answer-cut", and ran at most once

  Scenario: A charge whose answer was cut is not run again
    Given target "a1-t1" cuts its answers short
    And target "a1-t2" cuts its answers short
    When 5 charges are sent to "e1"
    Then each is answered completely or refused as "answer-cut", and ran at most once

  Scenario: Targets that name no attempts in their answers serve charges too
    Given all targets name no attempts
    When 20 charges are sent to "e1"
    Then all are answered completely

  Scenario: A target that signals draining gets no new requests
    When target "a1-t1" signals that it is draining
    And 20 requests are sent to "e1"
    Then all are answered completely
    And target "a1-t1" runs no further requests

  Scenario: A target that the platform's instance list marks as leaving gets no new requests
    When the platform's instance list marks target "a1-t1" as leaving
    And 20 requests are sent to "e1"
    Then all are answered completely
    And target "a1-t1" runs no further requests

  Scenario: A target drained by an operator gets no new requests
    When an operator drains target "a1-t1"
    And 20 requests are sent to "e1"
    Then all are answered completely
    And target "a1-t1" runs no further requests

  Scenario: A request that crashed two targets is refused by all entries
    Given all targets crash on path "poison"
    When a request "poison" is sent to "e1"
    Then it is not answered
    And exactly 2 targets have crashed
    And "poison" is refused as "held-back" at "e1, e2, e3, e4"
    And other requests are answered at "e1, e4"

  Scenario: Requests of a data centre without running targets are served by another data centre
    When targets "a1-t1, a1-t2" are shut down
    And 10 requests are sent to "e1"
    Then all are answered completely

  Scenario: No request fails when the owner of a pool crashes under load
    When 60 requests are sent to "e3" for client "10.1.0.1" while the owner of the pool in a1 is killed
    Then all are answered completely
    And the other instance owns the pool

  Scenario: No request fails when an entry stops gracefully under load
    When 60 requests are sent to the entries that look-ups name while "e1" is stopped gracefully
    Then all are answered completely
    And look-ups no longer name "e1"

  Scenario: Entries are cut off but serve requests during a long store outage
    Given the store is unavailable
    Then "e1" becomes cut off
    And a request for client "10.1.0.1" at "e1" is answered by data centre "a1"
    And a request for client "10.3.0.1" at "e1" is answered by data centre "b1"
    And an operator's change at "e1" is refused as "store-away"
    When entry "e5" starts in a2
    Then "e5" fetches revision 1 from a peer and answers requests
    When the store is available again
    Then "e1" is no longer cut off

  Scenario: A new instance without access to the store and to peers refuses requests
    Given the store is unavailable
    When entry "alone" starts in b1 without peers
    Then it refuses requests as "no-configuration"

  Scenario: A publication reports an isolated instance as cut off
    Given "e4" is isolated from its peers and the store
    When an operator drains target "a1-t1"
    Then the publication reports "e4" as cut off and the others as in force
    And "e4" is cut off by the time the publication returns

  Scenario: A data centre's cap on requests in flight holds under three times its load
    Given data centre caps of 4 requests in flight
    When 60 slow requests are sent to "e1, e2, e3" at once
    Then no pool ran more requests at once than its cap allows

  Scenario: A move redirects its share of the requests and never exceeds its cap
    Given a running move of "s1" from a1 to b1 with cap 0.3 at step 0.3
    When 200 requests from 200 client blocks of a1 are sent to "e1, e2"
    Then between 10 and 60 of them ran in b1
    When the move is aborted
    And 40 requests from 40 client blocks of a1 are sent to "e1, e2"
    Then none of them ran in b1

  Scenario: The instance that holds the moves duty advances a move through its steps
    Given a planned move of "s1" from a1 to b1 with cap 0.3 and steps 0.1, 0.3
    When an operator advances the move
    Then the instance that holds the moves duty advances it to step 2 of 2

  Scenario: A graceful stop completes running requests
    Given target "b1-t1" takes 3000 ms per request
    When a slow request for client "10.3.0.1" runs at "e4" while "e4" is stopped gracefully
    Then all are answered completely

  Scenario: An older revision that arrives late is ignored
    When an operator drains target "a1-t1"
    And an older revision arrives late at "e1"
    Then "e1" still has revision 2 in force

  Scenario: A lost answer is never reported as not run
    Given all targets crash on path "poison"
    When a request "poison" is sent to "e4"
    Then it is refused with an unknown outcome

  Scenario Outline: A charge that was sent to a target is not answered as not run when <bytes> follow
    When a charge is sent to "e1" whose connection carries <bytes>
    Then the connection's answers don't say that it did not run

    Examples:
      | bytes                               |
      | malformed bytes behind the request  |
      | a malformed chunk in a long body    |
