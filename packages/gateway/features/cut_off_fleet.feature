Feature: An entry that is cut off from a large fleet
  Its links to all targets hang. Callers, the store and the other entries still reach it.

  Scenario: Most requests are served while an entry finds out that its links to many targets hang
    Given a store with a route of each kind
    And 240 targets in data centres "a1" and "b1" that answer
    And an entry "e1" whose links to the targets can be cut
    And an entry "e2" with a retry budget
    And the directory of "e1" lists all 2 entries within 3 s
    When the links of "e1" are cut so that they hang, under load for 4000 ms
    Then at least 60 of 100 requests of that load were answered with 200
