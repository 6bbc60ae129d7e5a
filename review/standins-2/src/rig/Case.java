package rig;

import java.io.IOException;
import java.nio.file.Path;

/** One run of a case: project's root, a temporary folder, the record, and with or without the disruption. */
public final class Case {
    /** Plays a case and returns its exit code. */
    interface Play {
        int play(Case run) throws Exception;
    }

    public final Path root;
    public final Path work;
    public final Rec rec;
    public final boolean trouble;

    private Case(Path root, Path work, Rec rec, boolean trouble) {
        this.root = root;
        this.work = work;
        this.rec = rec;
        this.trouble = trouble;
    }

    static void run(String[] args, Play play) throws IOException {
        int code = 2;
        try (Rec rec = new Rec(Path.of(args[2]))) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            rec.log(trouble ? "with the disruption" : "without the disruption");
            try {
                code = play.play(new Case(Path.of(args[0]), Path.of(args[1]), rec, trouble));
            } catch (Exception e) {
                rec.say("cannot run: " + e);
                e.printStackTrace();
            }
        }
        System.exit(code);
    }

    public int broken(String what) {
        rec.say("BROKEN: " + what);
        return 1;
    }

    public int held(String note) {
        rec.say("held" + (note.isEmpty() ? "" : " (" + note + ")"));
        return 0;
    }

    public int cannot(String why) {
        rec.say("cannot run: " + why);
        return 2;
    }
}
