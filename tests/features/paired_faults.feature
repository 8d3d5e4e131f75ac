Feature: No two concurrent faults lose, duplicate, truncate or mix up a request
  While partners send reads, surveys and payments, one fault starts, and a second
  one starts before the first ends. Callers retry the requests that may be retried.
  Each response is complete and belongs to its caller, payments run once, and
  requests that were refused as not run did not run.

  Scenario Outline: <first>, then <second>
    Given a running fleet
    When the partners send 240 mixed requests over 4 seconds
    And at 20 % <first>
    And at 40 % <second>
    And the faults end at 75 %
    Then every call ends
    And every guarantee holds
    And every repeatable request is answered
    And only requests affected by a fault end unknown
    And at most <refused> % are refused as not run

    Examples:
      | first                          | second                          | refused |
      | the store goes down            | a daemon is killed              | 5       |
      | the store loses replies        | upstream VMs cut their answers  | 20      |
      | upstream connections go silent | the store is slow               | 5       |
      | a zone is cut off              | upstream VMs freeze             | 15      |
      | a daemon is paused             | the store's connections go silent | 5     |
      | upstream VMs lose answers      | a daemon is killed              | 20      |
