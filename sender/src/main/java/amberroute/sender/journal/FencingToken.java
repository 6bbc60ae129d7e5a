package amberroute.sender.journal;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.UUID;

/**
 * The mark in a state folder that says who has taken over what is in it. It is raised once, whole and for one taker, and
 * never lowered: from then on no process may have an effect out of this folder. Raising goes by a hard link, which the
 * file system makes for one of several takers only.
 */
public record FencingToken(String successor, Path successorFolder, String handoffId, boolean completed) {
    private static final String NAME = "fence";
    private static final int MOST_TAKERS = 10_000;

    static File file(Path folder) {
        return folder.resolve(NAME).toFile();
    }

    /** Null where the folder is not fenced. */
    public static FencingToken read(Path folder) throws IOException {
        Path file = folder.resolve(NAME);
        if (!Files.exists(file)) {
            return null;
        }
        try {
            JsonObject json = JsonParser.parseString(Files.readString(file)).getAsJsonObject();
            return new FencingToken(
                    json.get("by").getAsString(),
                    Path.of(json.get("into").getAsString()),
                    json.get("lots").getAsString(),
                    json.get("done").getAsBoolean());
        } catch (RuntimeException e) {
            throw new IOException("the fence in " + folder + " cannot be read: " + e.getMessage());
        }
    }

    /**
     * Raises it for whoever takes the folder over {@code into} another, or finds it raised for the same before; IOException
     * where another was first. An earlier taker counts as the same once its own folder has been taken over whole into
     * this one, as the lots that it had taken are known here then.
     */
    public static FencingToken raise(Path folder, String by, Path into) throws IOException {
        Path own = into.toAbsolutePath().normalize();
        FencingToken fence = new FencingToken(by, own, UUID.randomUUID().toString(), false);
        Path aside = folder.resolve(NAME + "." + fence.handoffId());
        Files.writeString(aside, fence.text());
        try {
            Files.createLink(folder.resolve(NAME), aside);
            return fence;
        } catch (FileAlreadyExistsException e) {
            FencingToken first = read(folder);
            int steps = 0;
            for (FencingToken at = first; at != null && !at.successorFolder().equals(own); ) {
                at = read(at.successorFolder());
                // Two that took each other over lead in a circle.
                if (at == null || !at.completed() || ++steps > MOST_TAKERS) {
                    throw new IOException("folder " + folder + " was taken over by " + first.successor() + " into "
                            + first.successorFolder());
                }
            }
            return first;
        } finally {
            Files.deleteIfExists(aside);
        }
    }

    /** Notes that nothing is left in the folder to take. */
    public void finish(Path folder) throws IOException {
        Path aside = folder.resolve(NAME + ".done");
        Files.write(
                aside,
                new FencingToken(successor, successorFolder, handoffId, true)
                        .text()
                        .getBytes(StandardCharsets.UTF_8));
        Files.move(aside, folder.resolve(NAME), StandardCopyOption.ATOMIC_MOVE);
    }

    private String text() {
        JsonObject json = new JsonObject();
        json.addProperty("by", successor);
        json.addProperty("into", successorFolder.toString());
        json.addProperty("lots", handoffId);
        json.addProperty("done", completed);
        return json.toString();
    }
}
