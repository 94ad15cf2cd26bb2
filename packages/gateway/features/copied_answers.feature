Feature: Copies of refusals
  A target may send a refusal again, also when the refused request comes back on the
  same connection. The copy names the request that is under way there, which may run
  all the same.

  Background:
    Given a store with a route of each kind

  Scenario Outline: A copy of a refusal is not taken for the answer to the same request when it comes back
    Given a target "t1" that refuses each request once with <status>, and then sends a copy <moment>
    And an entry "e1"
    When a caller of "e1" posts "/write/x" until it is served, 6 requests with 3 tries each
    Then each of these requests was served
    And none ran twice, or was refused while it ran

    Examples:
      | status | moment                                   |
      | 503    | before the next answer                   |
      | 429    | before the next answer                   |
      | 408    | before the next answer                   |
      | 503    | in pieces before the next answer         |
      | 503    | before the next request's body was read  |
      | 503    | half behind the refusal, half later      |
      | 503    | right behind the refusal                 |
      | 503    | 40 ms behind the refusal                 |

  Scenario: A copy of a refusal doesn't ask for its pause again
    Given a target "t1" that refuses each request once with 503 and a Retry-After of "0.1", and then sends a copy before the next answer
    And an entry "e1"
    When a caller of "e1" posts "/write/x" until it is served, 1 request with 3 tries each
    Then each of these requests was served
    And the entries logged 1 pause

  Scenario: Requests that come back cost a connection only where theirs was refused
    Given a target "t1" that refuses each request once with 503, and then sends a copy before the next answer
    And an entry "e1"
    When a caller of "e1" posts "/write/x" until it is served, 20 requests with 3 tries each
    Then each of these requests was served
    And "t1" accepted at most 2 connections

  Scenario: Copies that come with other requests leave few outcomes unknown
    Given a target "t1" that refuses each request once with 503, and then sends a copy with the next request
    And an entry "e1"
    When a caller of "e1" posts "/write/x" until it is served, 12 requests with 3 tries each
    Then at most 1 of these requests failed
    And none ran twice, or was refused while it ran

  Scenario: A request without an id is sent on a new connection
    Given a target "t1" that answers
    And an entry "e1"
    When a caller of "e1" posts "/write/x"
    And a caller of "e1" posts "/write/x" without an id
    Then the request without an id was the first one on its connection
