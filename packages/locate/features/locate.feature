Feature: Look-ups
  Scenario: The block table agrees with a linear search for the longest prefix
    Then random tables and addresses give the same site as a linear search

  Scenario: Changing one block changes one chunk
    When one of 5000 blocks changes its site
    Then exactly one chunk differs

  Scenario: Entries are ranked by distance, and leaving ones are excluded
    Given instances in data centres a1, a2 and b1, of which one in a1 is leaving
    Then a caller whose home is a1 is sent to a1, then a2, then b1
    And the leaving instance is not ranked

  Scenario: Losing an instance moves only the pools that it owned
    Then removing any of 12 instances moves no pool of another instance

  Scenario Outline: A block without a proper prefix length is malformed
    Then the block "<cidr>" is malformed

    Examples:
      | cidr          |
      | 10.1.0.0/     |
      | 10.1.0.0      |
      | 10.1.0.0/33   |
      | 10.1.0.0/1e1  |
      | 10.1.0.0/8/8  |
      | 10.1.0.0/ 8   |
