Feature: What an entry has not read is not idle
  Background:
    Given a store with a route of each kind

  Scenario: Bodies that a stop has no time to read are refused
    Given a target "t1" that answers
    And an entry "e1" with a grace period of 3 s
    When 20 callers of "e1" send the rest of a body each while it reads nothing, and "e1" stops
    Then each caller got the status 503

  Scenario: A body that is not complete at the end of a stop is refused
    Given a target "t1" that answers
    And an entry "e1" with a grace period of 3 s
    When 5 callers of "e1" send half a body each, and "e1" stops
    Then each caller got the status 503

  Scenario: A head that is not complete when a stop closes idle connections is refused
    Given a target "t1" that answers
    And an entry "e1" with a grace period of 3 s
    When 5 callers of "e1" send half a head each, and "e1" stops
    Then each caller got the status 503

  Scenario Outline: A part of a head that came with a request is not idle, <writes> writes
    Given a target "t1" that answers
    And an entry "e1" with a grace period of 3 s
    When a caller of "e1" sends a request and half of another head in <writes> writes, and the rest 300 ms after "e1" closed idle connections
    Then each caller got an answer

    Examples:
      | writes |
      | 1      |
      | 2      |

  Scenario: A request that arrives in a pause in which its kept connection expires is answered
    Given a target "t1" that answers
    And an entry "e1"
    When 20 callers of "e1" send a request each, and another one in a pause in which their connections expire
    Then each of these callers got two answers

  Scenario: Silent connections don't keep out other callers
    Given a target "t1" that answers
    And an entry "e1"
    When 1300 silent connections to "e1" are open and another caller sends 10 requests
    Then the other caller was served

  Scenario: A CONNECT request doesn't cut off the answers before it
    Given a target "t1" that answers after 200 ms
    And an entry "e1"
    When a caller of "e1" pipelines a request and a CONNECT
    Then the caller got a 200 that closes its connection

  Scenario: Requests that wait for their turn while reading pauses are answered in a stop
    Given a target "t1" that never answers
    And an entry "e1" with a grace period of 3 s
    When a caller of "e1" pipelines 100 requests, and "e1" stops while it reads nothing
    Then each caller got an answer
