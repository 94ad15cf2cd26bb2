Feature: Membership
  Scenario: Tables that merged the same records are equal, whatever the order
    Then random records merged in random orders give equal tables

  Scenario: An instance refutes a record that wrongly declares it dead and ignores a dead record of an earlier incarnation
    Given instance "e1" that a peer wrongly declared dead
    When "e1" receives the dead record
    Then the peer lists "e1" as serving again after it merges "e1"'s record
    And a dead record of an earlier incarnation changes nothing

  Scenario: A new incarnation replaces the dead record of the same instance
    Given a record of "e2" that was declared dead
    When a record of a new incarnation of "e2" is received
    Then it is live with the new incarnation

  Scenario: The table is bounded and removes dead records
    Given a table bounded to 10 records
    When 30 instances join and are declared dead
    Then it holds at most 10 records and dead records are removed after their retention time

  Scenario: The number of streams per instance stays small in a large fleet
    Then in a fleet of 540 instances in 37 data centres each instance keeps at most 50 streams
    And an instance that is not a relay keeps one stream to each peer of its data centre and no others

  Scenario: Only relays pass on other data centres' records, and never to a third data centre
    Then a relay's mesh stream carries other data centres' records, a non-relay's does not, and the relay's stream to another data centre carries only its own data centre's records
