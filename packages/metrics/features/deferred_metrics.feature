Feature: Deferred loading of metrics
  Scenario: Measurements before loading are not lost
    Given metrics that load after 20 ms
    When 3 requests are counted before and 2 after loading
    Then the loaded metrics counted 5 and recorded 5

  Scenario: Metrics whose port is in use at first are loaded later
    Given metrics that load after 20 ms, at the second attempt
    When 3 requests are counted before and 2 after loading
    Then the loaded metrics counted 5 and recorded 5
