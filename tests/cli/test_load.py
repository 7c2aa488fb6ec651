"""`lapisgrade load`, and mistakes on the command line."""

from click.testing import CliRunner

from lapisgrade.cli.main import cli
from lapisgrade.fakes.site import sample_configuration
from lapisgrade.lab.load import schedule

MIX = schedule.mix_of(sample_configuration()["settings"])


def test_invalid_arguments_are_one_line():
    runner = CliRunner()
    wrong = (["load", "nowhere"], ["demo", "--load", "--shape", "wave"], ["demo", "--load", "--rate", "-3"])
    for words in wrong:
        result = runner.invoke(cli, words)
        assert result.exit_code == 2, words
        assert "Traceback" not in result.output, words
        assert "Error" in result.output
    assert runner.invoke(cli, ["--help"]).exit_code == 0


def test_a_trace_in_csv_or_json_lines_is_sent_as_recorded(tmp_path):
    runner = CliRunner()
    rows = "t_s,customer,category,units\n0.0,5,read,1\n0.2,6,read,2\n"
    (tmp_path / "t.csv").write_text(rows)
    (tmp_path / "t.jsonl").write_text('{"t_s": 0.1, "customer": 5, "category": "read"}\n{"t_s": "x"}\n')
    row = {"t_s": "0.0", "customer": "5", "category": "read"}  # as csv reads it: text
    assert len(schedule.from_trace([row], MIX)) == 1
    bad = runner.invoke(cli, ["load", "127.0.0.1:9", "--trace", str(tmp_path / "t.jsonl")])
    assert bad.exit_code == 2
    assert "trace row 2" in bad.output
    # Nothing listens at port 9 of loopback: both operations are given up at once, none lost.
    done = runner.invoke(cli, ["load", "127.0.0.1:9", "--trace", str(tmp_path / "t.csv")])
    assert done.exit_code == 0
    assert "sent 2: finished 0, turned back 0, given up 2, lost 0" in done.output
