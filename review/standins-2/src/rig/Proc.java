package rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the project, started by the deploy file's command from the project's root. */
public final class Proc {
    private final Rec rec;
    private final String name;
    private final Process process;

    private Proc(Rec rec, String name, Process process) {
        this.rec = rec;
        this.name = name;
        this.process = process;
    }

    /** The command under {@code run} in the deploy file. */
    public static String runCommand(Path root) throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*?)\"").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("no run in the deploy file");
        }
        return run.group(1);
    }

    public static Proc start(Rec rec, Path root, String name, Map<String, String> environment, Path log)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root));
        builder.directory(root.toFile());
        builder.environment().keySet().removeIf(key -> key.startsWith("GW_"));
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Proc proc = new Proc(rec, name, builder.start());
        rec.log(name + " started, process " + proc.process.pid());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> proc.process.destroyForcibly()));
        return proc;
    }

    public long pid() {
        return process.pid();
    }

    public boolean alive() {
        return process.isAlive();
    }

    /** The exit code, -1 while it runs. */
    public int exit() {
        return process.isAlive() ? -1 : process.exitValue();
    }

    public void signal(String signal) throws IOException {
        rec.log(name + " gets SIG" + signal);
        Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
        try {
            kill.waitFor();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    public void end() {
        process.destroyForcibly();
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
