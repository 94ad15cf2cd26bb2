Feature: Links to targets that are reset while requests are under way
  Scenario: Requests that a cut breaks off don't count as the cause of a crash
    Given a store with a route of each kind
    And a target "t1" that answers after 400 ms
    And a target "t2" that answers after 400 ms
    And a target "t3" that answers after 400 ms
    And an entry "e1" whose links to the targets can be cut
    When the links of "e1" are cut so that they reset, under load for 1000 ms
    Then no request is held back at "e1"
