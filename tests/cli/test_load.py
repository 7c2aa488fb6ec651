"""`lapisgrade load`, and invalid arguments on the command line."""

from click.testing import CliRunner

from lapisgrade.cli.main import cli
from lapisgrade.fakes.site import sample_configuration
from lapisgrade.lab.load import schedule

MIX = schedule.default_mix(sample_configuration()["settings"])


def test_invalid_arguments_exit_with_2_and_an_error_without_a_traceback():
    runner = CliRunner()
    invalid = (["load", "nowhere"], ["demo", "--load", "--shape", "wave"], ["demo", "--load", "--rate", "-3"])
    for arguments in invalid:
        result = runner.invoke(cli, arguments)
        assert result.exit_code == 2, arguments
        assert "Traceback" not in result.output, arguments
        assert "Error" in result.output
    assert runner.invoke(cli, ["--help"]).exit_code == 0


def test_a_trace_in_csv_is_sent_and_an_invalid_row_in_json_lines_is_reported(tmp_path):
    runner = CliRunner()
    rows = "t_s,customer,category,units\n0.0,5,read,1\n0.2,6,read,2\n"
    (tmp_path / "t.csv").write_text(rows)
    (tmp_path / "t.jsonl").write_text('{"t_s": 0.1, "customer": 5, "category": "read"}\n{"t_s": "x"}\n')
    row = {"t_s": "0.0", "customer": "5", "category": "read"}  # csv yields strings
    assert len(schedule.from_trace([row], MIX)) == 1
    invalid = runner.invoke(cli, ["load", "127.0.0.1:9", "--trace", str(tmp_path / "t.jsonl")])
    assert invalid.exit_code == 2
    assert "trace row 2" in invalid.output
    # Nothing listens on port 9 of loopback: both operations are given up immediately, none is lost.
    done = runner.invoke(cli, ["load", "127.0.0.1:9", "--trace", str(tmp_path / "t.csv")])
    assert done.exit_code == 0
    assert "sent 2: finished 0, turned back 0, given up 2, lost 0" in done.output
