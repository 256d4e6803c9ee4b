from ibisshunt.helpers.logging import format_event


def test_an_event_is_formatted_as_one_line_of_pairs():
    line = format_event("refused", peer="1.2.3.4:5", reason='a "b"\nc', empty="")
    assert line == 'event=refused peer=1.2.3.4:5 reason="a \\"b\\"\\nc" empty=""'
