Feature: Two faults at once lose, double, cut or mix no request
  While partners send reads, surveys and payments, one thing fails, and before it
  is well again a second one fails too. Callers repeat what they may repeat. What
  they are told stays true: each answer is whole and their own, payments run once,
  and what was refused as not run was not run.

  Scenario Outline: <first>, then <second>
    Given a running fleet
    When the partners send 240 mixed requests over 4 seconds
    And at 20 % <first>
    And at 40 % <second>
    And all is well again at 75 %
    Then every call comes to its end
    And no promise is broken
    And every repeatable request is answered
    And only requests that a fault met end unknown
    And at most <refused> % are refused as not run

    Examples:
      | first                          | second                          | refused |
      | the store goes down            | a daemon is killed              | 5       |
      | the store loses replies        | upstream VMs cut their answers  | 20      |
      | upstream connections go silent | the store is slow               | 5       |
      | a zone is cut off              | upstream VMs freeze             | 15      |
      | a daemon is paused             | the store's connections go silent | 5     |
      | upstream VMs lose answers      | a daemon is killed              | 20      |
