Feature: Heavy load replayed through the decisions
  Scenario: The same seed gives the same result
    Then pattern "burst" played twice with seed 3 gives the same figures

  Scenario: Objects that keep to homes serve more callers in time
    When pattern "heavy" is played by "product" and by "no homes" with 3 seeds
    Then "product" serves at least 1.5 times as many in time

  Scenario: Keeping to homes when all is full serves more callers in time
    When pattern "heavy" is played by "product" and by "stray at any load" with 3 seeds
    Then "product" serves at least 1.2 times as many in time

  Scenario: A region short of room is served better when it begins with homes elsewhere
    When pattern "restart" is played by "product" and by "no share to begin with" with 3 seeds
    Then in the region served worst "product" serves at least 1.2 times as many in time

  Scenario: Shares move slowly while nothing happens
    When pattern "heavy" is played by "product" with 8 seeds
    Then no region changes more than 0.15 of its runs from one window to the next
