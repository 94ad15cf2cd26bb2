Feature: Metrics that are loaded late
  Scenario: Nothing counted before loading is lost
    Given metrics that load after 20 ms
    When 3 requests are counted before and 2 after that
    Then the loaded metrics counted 5 and recorded 5
