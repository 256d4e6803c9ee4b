import pytest
from hypothesis import given, strategies as st
from returns.result import Failure, Success

from ibisshunt.model.address import Address, parse_address


@given(st.ip_addresses(v=4), st.integers(0, 65535))
def test_a_printed_address_is_parsed_back(ip, port):
    address = Address(str(ip), port)
    assert parse_address(str(address)) == Success(address)


@pytest.mark.parametrize(
    "text", ["", "1.2.3.4", "1.2.3:80", "1.2.3.4:x", "h:1", "1.2.3.4:65536"]
)
def test_a_malformed_address_is_rejected(text):
    assert isinstance(parse_address(text), Failure)
