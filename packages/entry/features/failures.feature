@system
Feature: Failures of targets, entries and the store
  Background:
    Given targets "a1-t1, a1-t2, a2-t1, b1-t1" that take 5 ms
    And entries "e1 in a1, e2 in a1, e3 in a2, e4 in b1" with the fleet published

  Scenario: An answer cut short never passes for a whole one
    Given target "a1-t1" cuts its answers
    When 20 requests are sent to "e1"
    Then all are answered whole
    When 20 charges are sent to "e1"
    Then each is answered whole or refused as "answer-cut", and ran at most once

  Scenario: A target that drains by its own signal gets no new work
    When target "a1-t1" drains by its own signal
    And 20 requests are sent to "e1"
    Then all are answered whole
    And target "a1-t1" runs nothing more

  Scenario: A target that the platform's list calls leaving gets no new work
    When the platform's list calls target "a1-t1" leaving
    And 20 requests are sent to "e1"
    Then all are answered whole
    And target "a1-t1" runs nothing more

  Scenario: An operator drains a target
    When an operator drains target "a1-t1"
    And 20 requests are sent to "e1"
    Then all are answered whole
    And target "a1-t1" runs nothing more

  Scenario: A request that crashes targets is held back everywhere
    Given all targets crash on path "poison"
    When a request "poison" is sent to "e1"
    Then it is not answered
    And exactly 2 targets have crashed
    And "poison" is refused as "held-back" at "e1, e2, e3, e4"
    And requests of others are answered at "e1, e4"

  Scenario: A data centre without targets up is served by its neighbour
    When targets "a1-t1, a1-t2" are gone
    And 10 requests are sent to "e1"
    Then all are answered whole

  Scenario: The owner of a pool dies under load
    When 60 requests are sent to "e3" for client "10.1.0.1" while the owner of the pool in a1 is killed
    Then all are answered whole
    And the other instance owns the pool

  Scenario: A graceful stop interrupts nobody
    When 60 requests are sent along the look-ups while "e1" is stopped gracefully
    Then all are answered whole
    And look-ups no longer name "e1"

  Scenario: The store is away for long
    Given the store is away
    Then "e1" becomes cut off
    And a request for client "10.1.0.1" at "e1" is answered by data centre "a1"
    And a request for client "10.3.0.1" at "e1" is answered by data centre "b1"
    And an operator's change at "e1" is refused as "store-away"
    When entry "e5" starts in a2
    Then "e5" takes revision 1 from a peer and answers requests
    When the store is back
    Then "e1" is no longer cut off

  Scenario: A new instance without store and peers serves nothing
    Given the store is away
    When entry "alone" starts in b1 without peers
    Then it refuses requests as "no-configuration"

  Scenario: A publication names an instance that can't hear it as cut off
    Given "e4" is frozen off from its peers and the store
    When an operator drains target "a1-t1"
    Then the publication names "e4" as cut off and the others as in force
    And "e4" is cut off by then

  Scenario: A region's cap holds under three times its load
    Given data centre caps of 4
    When 60 slow requests are sent to "e1, e2, e3" at once
    Then no target pool ran more than its cap

  Scenario: A move shifts its share and never more than its cap
    Given a running move of "s1" from a1 to b1 with cap 0.3 at step 0.3
    When 200 requests from 200 blocks of a1 are sent to "e1, e2"
    Then between 10 and 60 of them ran in b1
    When the move is aborted
    And 40 requests from 40 blocks of a1 are sent to "e1, e2"
    Then none of them ran in b1

  Scenario: A move is taken through its steps by the duty's holder
    Given a planned move of "s1" from a1 to b1 with cap 0.3 and steps 0.1, 0.3
    When an operator advances the move
    Then the duty's holder takes it to step 2 of 2

  Scenario: A graceful stop finishes what runs
    Given target "b1-t1" takes 3000 ms
    When a slow request for client "10.3.0.1" runs at "e4" while "e4" is stopped gracefully
    Then all are answered whole

  Scenario: A late older revision changes nothing
    When an operator drains target "a1-t1"
    And an older revision reaches "e1" late
    Then "e1" still holds revision 2

  Scenario: A lost answer is never called not run
    Given all targets crash on path "poison"
    When a request "poison" is sent to "e4"
    Then it is refused in doubt
