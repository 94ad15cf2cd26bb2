Feature: Membership
  Scenario: Tables that heard the same records agree, in whatever order
    Then random records merged in random orders give equal tables

  Scenario: A false death is refuted, a true one stands
    Given instance "e1" that a peer wrongly declared dead
    When "e1" hears of its death
    Then the peer believes "e1" to be live again after it hears "e1"'s record
    And a death of an earlier incarnation changes nothing

  Scenario: An address reused by a new incarnation replaces the old record
    Given a record of "e2" that was declared dead
    When a new incarnation of "e2" is heard
    Then it is live with the new incarnation

  Scenario: The table is bounded and forgets the dead
    Given a table bounded to 10 records
    When 30 instances come and go
    Then it holds at most 10 records and the dead are forgotten after their time

  Scenario: Streams stay few in a large fleet
    Then in a fleet of 540 instances in 37 data centres each instance keeps at most 50 streams
    And instances that are no relays keep a stream to each of their data centre only

  Scenario: Relays carry news between data centres exactly once
    Then a mesh stream of a relay carries other data centres' records and a plain instance's does not
