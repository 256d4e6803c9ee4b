import pytest

from ibisshunt.exceptions import SettingsError
from ibisshunt.model.address import Address
from ibisshunt.settings import BALANCER, read_settings

VALID = """
{
  // an entry host
  name: "b1", failure_domain: "moin-a",
  control: ["127.0.0.1:7001"],
  packets: "127.0.0.1:6081", admin: "127.0.0.1:9001",
}
"""


def test_settings_with_comments_are_read(tmp_path):
    path = tmp_path / "balancer.json"
    path.write_text(VALID)
    settings = read_settings(path, BALANCER)
    assert settings.control == (Address("127.0.0.1", 7001),)


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('"127.0.0.1:6081"', '"127.0.0.1"', "packets"),
        ('"127.0.0.1:6081"', "6081", "packets"),
        ('["127.0.0.1:7001"]', "[]", "control"),
        ('name: "b1"', 'name: "B 1"', "name"),
        ('name: "b1", ', "", "name"),
        ('name: "b1"', 'name: "b1", colour: 1', "colour"),
        ("{", "", "-"),
    ],
)
def test_the_error_for_an_invalid_setting_names_file_and_key(tmp_path, old, new, key):
    path = tmp_path / "balancer.json"
    path.write_text(VALID.replace(old, new, 1))
    with pytest.raises(SettingsError) as caught:
        read_settings(path, BALANCER)
    assert caught.value.fault.peer == str(path)
    assert f"key {key}:" in caught.value.fault.reason
