"""Stand-in for what an owner has learned of the speeds of its workers."""

from papayapick.speeds import SpeedTier, UnknownSpeeds


class KnownSpeeds(UnknownSpeeds):
    """The true speeds of workers, known from the start."""

    differ = True

    def __init__(self, speeds):
        self.speeds = speeds

    def speed(self, worker):
        return self.speeds.get(worker, 1.0)

    def certainty(self, worker):
        return 1.0

    def tier(self, worker):
        speed = self.speed(worker)
        if speed < 0.8:
            return SpeedTier.SLOW
        return SpeedTier.FAST if speed > 1.25 else SpeedTier.NORMAL
