"""Limits of servers that spread between entries by sidecars."""

from lacewingpitch import backend_list
from lacewingpitch import limit_news
from lacewingpitch import turn_messages
from tests import clocks
from tests import limit_fakes

SERVER = backend_list.BackendServer('p-1', 's', '10.0.0.1', 80, 'z')


class Scene:
    """Two entries that ask the same sidecar for turns."""

    def __init__(self):
        self.clock = clocks.ManualClock(100.0)
        self.board = limit_news.LimitBoard(self.clock)
        self.entries = [
            limit_fakes.make_limits(
                self.clock, has_sidecar=False, servers=[SERVER]
            )
            for _ in range(2)
        ]

    def exchange(self, number):
        """Exchange news between an entry and the sidecar."""
        entry = self.entries[number]
        sent = entry.news()
        self.board.merge(sent)
        received = self.board.news_for(sent)
        reply = turn_messages.TurnReply(limit_news=received)
        entry.record_reply(SERVER, reply, self.clock.boot_s())
        return sent, received


class TestSpreading:
    def test_an_entry_learns_what_another_has_heard(self):
        """Guards against first requests of many entries beyond a limit."""
        scene = Scene()
        scene.entries[0].record_answer(SERVER, 1.5, 99.9)
        scene.exchange(0)
        scene.exchange(1)
        assert scene.entries[1].per_s(SERVER) == 1.5

    def test_what_an_entry_has_told_is_not_sent_back(self):
        scene = Scene()
        scene.entries[0].record_answer(SERVER, 1.5, 99.9)
        assert scene.exchange(0)[1] == ()

    def test_without_limits_nothing_is_sent(self):
        scene = Scene()
        scene.entries[0].record_answer(SERVER, None, 99.9)
        assert scene.exchange(0) == ((), ())

    def test_an_ended_limit_does_not_come_back(self):
        """Guards against a limit that entries keep alive between them."""
        scene = Scene()
        scene.entries[0].record_answer(SERVER, 1.5, 99.9)
        scene.exchange(0)
        scene.exchange(1)
        scene.clock.now_s = 101.0
        scene.entries[0].record_answer(SERVER, None, 100.5)
        scene.exchange(1)
        scene.exchange(0)
        assert scene.entries[0].per_s(SERVER) is None

    def test_the_end_of_a_limit_spreads(self):
        """Guards against entries that refuse callers after a limit ended."""
        scene = Scene()
        scene.entries[0].record_answer(SERVER, 1.5, 99.9)
        scene.exchange(0)
        scene.exchange(1)
        scene.clock.now_s = 101.0
        scene.entries[0].record_answer(SERVER, None, 100.5)
        scene.exchange(0)
        scene.exchange(1)
        assert scene.entries[1].per_s(SERVER) is None

    def test_old_news_is_not_passed_on(self):
        """Guards against a limit that nobody has heard for long."""
        scene = Scene()
        scene.entries[0].record_answer(SERVER, 1.5, 99.9)
        scene.exchange(0)
        scene.clock.now_s = 110.0
        assert scene.exchange(1) == ((), ())

    def test_a_server_that_is_not_listed_is_ignored(self):
        scene = Scene()
        other = backend_list.BackendServer('p-2', 's', '10.0.0.2', 80, 'z')
        scene.entries[0].record_answer(other, 1.5, 99.9)
        scene.exchange(0)
        scene.exchange(1)
        assert scene.entries[1].per_s(other) is None

    def test_the_number_of_limits_in_a_message_is_bounded(self):
        scene = Scene()
        for number in range(100):
            server = backend_list.BackendServer(
                f'p-{number}', 's', '10.0.0.1', 80, 'z'
            )
            scene.entries[0].record_answer(server, 1.5, 99.9)
        sent, _ = scene.exchange(0)
        assert len(sent) == limit_news.MAX_COUNT
