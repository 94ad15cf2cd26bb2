Feature: Cached answers to look-ups

  Scenario: A cached look-up doesn't keep the time to live of an exception that expired
    Given an exception until "2023-11-14" that sets look-ups' time to live to 9 seconds
    Then a look-up on that day has a time to live of 9 seconds
    And a look-up on the day after has a time to live of 1 second
